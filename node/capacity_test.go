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

// The deployments that TestMeasureControl and TestMeasureUpstreams start. The
// command in docs/CAPACITY.md adds the target size.
var (
	sizes     = flag.String("sizes", "7,21", "numbers of instances for TestMeasureControl")
	upstreams = flag.String("upstreams", "9,120", "numbers of upstreams for TestMeasureUpstreams")
)

// The budget for control traffic and work at the target size: bytes and cores
// for each instance, reads and writes of the platform for the whole deployment.
const (
	controlBytesPerSecond   = 17 << 10
	controlCores            = 0.014
	platformReadsPerSecond  = 2000
	platformWritesPerSecond = 300 / 10 // a tenth of several hundred
)

// A controlCost is the measured cost of control in one deployment.
type controlCost struct {
	bytes   float64 // sent and received a second, for each instance
	cores   float64 // for each instance; user time of the whole process
	reads   float64 // of the platform a second, all instances
	writes  float64
	inForce time.Duration // from applying rules until they are in force everywhere
	heap    float64       // bytes for each instance
}

// cpuTime returns the user time of the process, or 0 if it can't be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano())
}

// traffic returns the bytes that all instances have sent to and received from
// each other.
func (d *deployment) traffic() int64 {
	var sum int64
	for _, n := range d.nodes {
		sum += n.Node.traffic.Sent.Load() + n.Node.traffic.Received.Load()
	}
	return sum
}

// platformCalls returns the numbers of reads and writes of the platform.
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

// waitUntilInForce waits up to a minute until every instance has the newest
// revision, and returns the time that it took.
func (d *deployment) waitUntilInForce() time.Duration {
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

// measureIdle measures a deployment without callers while rules are applied.
func (d *deployment) measureIdle() controlCost {
	const seconds, changes = 66, 2 // 2,600 changes a day are one every 33 s
	var c controlCost
	bytes, cpu := d.traffic(), cpuTime()
	reads, writes := d.platformCalls()
	begin := time.Now()
	for i := range changes {
		d.applyRules(d.rules + fmt.Sprintf("service = { id = \"c%d\" } # T: test\n", i))
		c.inForce = max(c.inForce, d.waitUntilInForce())
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

// checkBudget checks the figures that don't depend on the machine against the
// budget.
func (c controlCost) checkBudget(d *deployment) {
	d.is.True(c.bytes <= controlBytesPerSecond)
	d.is.True(c.reads <= platformReadsPerSecond)
	d.is.True(c.writes <= platformWritesPerSecond)
	d.is.True(c.inForce <= 16*time.Second)
	d.is.Equal(d.shares("small-milano-a"), 24) // all instances act on the same epoch
}

// parseInts parses a comma-separated list of numbers.
func parseInts(t *testing.T, list string) []int {
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

// TestMeasureControl reports the cost of control for several numbers of
// instances.
func TestMeasureControl(t *testing.T) {
	for _, n := range parseInts(t, *sizes) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			scenarioAlone(t, func(d *deployment) {
				for i := 3; i < n; i++ {
					d.startNode(testDomains[i%3])
				}
				d.listInstances()
				time.Sleep(2*time.Minute + time.Duration(n)*time.Second/2)
				c := d.measureIdle()
				t.Logf("%d instances: %v", n, c)
				c.checkBudget(d)
			})
		})
	}
}

// TestMeasureUpstreams reports the cost of control for several numbers of
// upstreams.
func TestMeasureUpstreams(t *testing.T) {
	for _, n := range parseInts(t, *upstreams) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			scenarioAlone(t, func(d *deployment) {
				var more strings.Builder
				for i := 9; i < n; i++ {
					fmt.Fprintf(&more, "upstream = { id = \"u%d\", failure-domain = %q, address = \"10.8.%d.%d:8000\", serves = [\"large@v1\"], max-requests = 24, cold-requests = 6 } # T: test\n", i, testDomains[i%3], i/250, i%250)
				}
				d.applyRules(d.rules + more.String())
				time.Sleep(time.Minute)
				c := d.measureIdle()
				t.Logf("%d upstreams, 3 instances: %v", n, c)
				c.checkBudget(d)
			})
		})
	}
}
