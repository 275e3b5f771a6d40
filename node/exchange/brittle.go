package exchange

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/placement"

	"github.com/pkg/errors"
)

// brittleKeyPrefix starts the keys of gossip entries on brittle upstreams. The start of the
// upstream follows.
const brittleKeyPrefix = "upstream-brittle/"

// brittleData is the data of a gossip entry on a brittle upstream.
type brittleData struct {
	Brittle     bool `json:"brittle"`
	MaxRefusals int  `json:"max-refusals"`
}

// recordBrittle records whether an answer says that its upstream is brittle, and publishes
// changes. An answer other than a refusal shows that the upstream had room.
func (r *Router) recordBrittle(slot *placement.Slot, head Head) {
	if head.Misdirected {
		return
	}
	says := head.Brittle || !head.NotRun && head.Status < 300
	r.mu.Lock()
	now := time.Now()
	var notice placement.BrittleNotice
	changed := false
	if says {
		notice, changed = r.fleet.RecordBrittle(now, slot, head.Brittle, head.MaxRefusals)
	}
	if !head.NotRun {
		r.fleet.RecordAnswer(slot)
	}
	r.mu.Unlock()
	if !changed {
		return
	}
	r.logBrittle(notice, "answer")
	e, err := brittleEntry(notice)
	if err != nil {
		r.Log.Line("news-not-sent").Str("key", brittleKeyPrefix+notice.Upstream).Err(err).End()
		return
	}
	r.queueEntry(e)
}

func brittleEntry(n placement.BrittleNotice) (gossip.Entry, error) {
	data, err := json.Marshal(brittleData{Brittle: n.Brittle, MaxRefusals: n.MaxRefusals})
	key := brittleKeyPrefix + n.Upstream + "@" + strconv.FormatInt(n.StartUnixMs, 10)
	return gossip.Entry{Key: key, Version: n.Version, Data: data}, err
}

func decodeBrittle(e gossip.Entry) (placement.BrittleNotice, error) {
	n := placement.BrittleNotice{Version: e.Version}
	start := strings.TrimPrefix(e.Key, brittleKeyPrefix)
	at := strings.LastIndexByte(start, '@')
	if at <= 0 {
		return n, errors.Errorf("the key %q has no upstream or start time", e.Key)
	}
	var err error
	n.Upstream = start[:at]
	if n.StartUnixMs, err = strconv.ParseInt(start[at+1:], 10, 64); err != nil {
		return n, err
	}
	var data brittleData
	err = json.Unmarshal(e.Data, &data)
	n.Brittle, n.MaxRefusals = data.Brittle, data.MaxRefusals
	return n, err
}

func (r *Router) logBrittle(n placement.BrittleNotice, source string) {
	r.Log.Line("upstream-brittle").Str("upstream", n.Upstream).Bool("brittle", n.Brittle).Int("max-refusals", int64(n.MaxRefusals)).
		Int("version", int64(n.Version)).Str("source", source).End()
}

// HandleBrittle adopts from the entry of another instance whether an upstream is brittle. It
// ignores entries of other kinds.
func (r *Router) HandleBrittle(e gossip.Entry) {
	if !strings.HasPrefix(e.Key, brittleKeyPrefix) {
		return
	}
	notice, err := decodeBrittle(e)
	if err != nil {
		r.Log.Line("news-rejected").Str("key", e.Key).Err(err).End()
		return
	}
	r.mu.Lock()
	changed := r.fleet.SetBrittle(time.Now(), notice)
	r.mu.Unlock()
	if changed {
		r.logBrittle(notice, "instance")
	}
}

// BrittleEntries returns the entries of brittle upstreams, which another instance needs when
// it starts.
func (r *Router) BrittleEntries() []gossip.Entry {
	r.mu.Lock()
	notices := r.fleet.BrittleNotices()
	r.mu.Unlock()
	var entries []gossip.Entry
	for _, n := range notices[:min(len(notices), maxIntroducedLimits)] {
		if e, err := brittleEntry(n); err == nil {
			entries = append(entries, e)
		}
	}
	return entries
}
