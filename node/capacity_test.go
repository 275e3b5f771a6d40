package node

import (
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// sizes are the deployments that TestMeasureControl starts. The command in
// docs/CAPACITY.md adds the target size.
var (
	sizes     = flag.String("sizes", "7,21", "numbers of instances for TestMeasureControl")
	upstreams = flag.String("upstreams", "9,120", "numbers of upstreams for TestMeasureUpstreams")
)

// The budget of an instance for control, at the target size.
const (
	controlBytesPerSecond = 17 << 10
	controlCores          = 0.014
	tableReadsPerSecond   = 2000
	tableWritesPerSecond  = 300 / 10 // a tenth of several hundred
)

// A controlCost is what a deployment of one size spends on control.
type controlCost struct {
	bytes   float64 // sent and received, for each instance and second
	cores   float64 // for each instance; user time of the whole process
	reads   float64 // of the platform, a second, all instances
	writes  float64
	inForce time.Duration // from apply to in force everywhere
	heap    float64       // bytes for each instance
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano())
}

func (d *deployment) traffic() int64 {
	var sum int64
	for _, n := range d.nodes {
		sum += n.Node.traffic.Sent.Load() + n.Node.traffic.Received.Load()
	}
	return sum
}

// platformCalls counts the reads and the writes of the stores.
func (d *deployment) platformCalls() (reads, writes int) {
	for c, n := range d.platform.CallCounts() {
		switch c.Op {
		case "insert", "replace", "insert-all", "put-object":
			writes += n
		default:
			reads += n
		}
	}
	return reads, writes
}

// waitInForce waits until every instance has the newest revision.
func (d *deployment) waitInForce() time.Duration {
	begin := time.Now()
	for time.Since(begin) < time.Minute {
		behind := false
		for _, n := range d.nodes {
			_, revision := n.Node.Rules()
			behind = behind || revision < d.revision
		}
		if !behind {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin)
}

// idle measures a deployment without callers over some changes of the rules.
func (d *deployment) idle() controlCost {
	const seconds, changes = 66, 2 // 2,600 changes a day are one in 33 s
	var c controlCost
	bytes, cpu := d.traffic(), cpuTime()
	reads, writes := d.platformCalls()
	begin := time.Now()
	for i := range changes {
		d.apply(d.rules + fmt.Sprintf("service = { id = \"c%d\" } # T: test\n", i))
		c.inForce = max(c.inForce, d.waitInForce())
		time.Sleep(seconds*time.Second/changes - time.Since(begin)%(seconds*time.Second/changes))
	}
	elapsed := time.Since(begin).Seconds()
	n := float64(len(d.nodes))
	readsAfter, writesAfter := d.platformCalls()
	c.bytes = float64(d.traffic()-bytes) / n / elapsed
	c.cores = (cpuTime() - cpu).Seconds() / n / elapsed
	c.reads = float64(readsAfter-reads) / elapsed
	c.writes = float64(writesAfter-writes) / elapsed
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	c.heap = float64(m.HeapAlloc) / n
	return c
}

func (c controlCost) String() string {
	return fmt.Sprintf("%.0f B/s, %.4f cores and %.1f MB of heap for each instance; %.1f reads/s and %.2f writes/s in all; in force after %v",
		c.bytes, c.cores, c.heap/(1<<20), c.reads, c.writes, c.inForce)
}

// within holds the figures that don't depend on the machine against the budget.
func (c controlCost) within(d *deployment) {
	d.is.True(c.bytes <= controlBytesPerSecond)
	d.is.True(c.reads <= tableReadsPerSecond)
	d.is.True(c.writes <= tableWritesPerSecond)
	d.is.True(c.inForce <= 16*time.Second)
	d.is.Equal(d.shares("small-milano-a"), 24) // all agree on the epoch
}

func numbers(t *testing.T, list string) []int {
	var all []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, n)
	}
	return all
}

// TestMeasureControl reports what control costs by the number of instances.
func TestMeasureControl(t *testing.T) {
	for _, n := range numbers(t, *sizes) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			scenarioAlone(t, func(d *deployment) {
				for i := 3; i < n; i++ {
					d.startNode(testDomains[i%3])
				}
				d.list()
				time.Sleep(2*time.Minute + time.Duration(n)*time.Second/2)
				c := d.idle()
				t.Logf("%d instances: %v", n, c)
				c.within(d)
			})
		})
	}
}

// TestMeasureUpstreams reports what control costs by the number of upstreams.
func TestMeasureUpstreams(t *testing.T) {
	for _, n := range numbers(t, *upstreams) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			scenarioAlone(t, func(d *deployment) {
				var more strings.Builder
				for i := 9; i < n; i++ {
					fmt.Fprintf(&more, "upstream = { id = \"u%d\", failure-domain = %q, address = \"10.8.%d.%d:8000\", serves = [\"large@v1\"], max-requests = 24, cold-requests = 6 } # T: test\n", i, testDomains[i%3], i/250, i%250)
				}
				d.apply(d.rules + more.String())
				time.Sleep(time.Minute)
				c := d.idle()
				t.Logf("%d upstreams, 3 instances: %v", n, c)
				c.within(d)
			})
		})
	}
}
