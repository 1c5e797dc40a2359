package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is a stand-in of the state service, by the published protocol.
type stateService struct {
	mu       sync.Mutex
	ring     uint64
	entries  map[string]entry
	leases   map[uint64]*hold
	nextHold uint64
	log      []change
	changed  chan struct{}
	requests bucket
	writes   bucket
	txnOps   int
	valueKB  int
	refused  map[string]bool // labels of the controllers that get 503
	rec      *recorder
	// answerLate says how late a transaction is answered that was carried out at once; 0: in time.
	answerLate func(label string, t *txnRequest) time.Duration
}

type entry struct {
	Path   string          `json:"path"`
	V      json.RawMessage `json:"v"`
	Notch  uint64          `json:"notch"`
	Tether uint64          `json:"tether,omitempty"`
}

type change struct {
	Put    string          `json:"put,omitempty"`
	V      json.RawMessage `json:"v,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Notch  uint64          `json:"notch"`
}

type hold struct {
	life  time.Duration
	timer *time.Timer
}

// bucket is a token bucket with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(rps, writeRPS float64, valueKB, txnOps int, rec *recorder) *stateService {
	now := time.Now()
	return &stateService{entries: map[string]entry{}, leases: map[uint64]*hold{}, changed: make(chan struct{}), valueKB: valueKB, txnOps: txnOps,
		requests: bucket{rps, rps, now}, writes: bucket{writeRPS, writeRPS, now}, refused: map[string]bool{}, rec: rec}
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

func (s *stateService) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var gone []string
	for k, e := range s.entries {
		if e.Tether == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.ring++
	for _, k := range gone {
		delete(s.entries, k)
		s.log = append(s.log, change{Remove: k, Notch: s.ring})
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

type fault struct {
	Error string `json:"error"`
}

// admit counts a request against the limits. It answers 503 or 429 and reports false if it is refused.
func (s *stateService) admit(w http.ResponseWriter, label string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[label] {
		reply(w, 503, fault{"down"})
		return false
	}
	if !s.requests.take(1) {
		reply(w, 429, fault{"too many requests"})
		return false
	}
	return true
}

// handler returns the server for one controller.
func (s *stateService) handler(label string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, label) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		e, ok := s.entries[r.PathValue("key")]
		if !ok {
			reply(w, 404, map[string]uint64{"ring": s.ring})
			return
		}
		reply(w, 200, e)
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, label) {
			s.list(w, r)
		}
	})
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, label) {
			s.txn(w, r, label)
		}
	})
	mux.HandleFunc("POST /holds", func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, label) {
			return
		}
		var q struct {
			LifeMS int64 `json:"life_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil || q.LifeMS < 100 || q.LifeMS > 600000 {
			reply(w, 400, fault{"malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextHold++
		id := s.nextHold
		life := time.Duration(q.LifeMS) * time.Millisecond
		s.leases[id] = &hold{life, time.AfterFunc(life, func() { s.expire(id) })}
		reply(w, 200, map[string]uint64{"tether": id})
	})
	mux.HandleFunc("POST /holds/{id}/renew", func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, label) {
			return
		}
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		h := s.leases[id]
		if h == nil {
			reply(w, 404, fault{"no such lease"})
			return
		}
		h.timer.Reset(h.life)
		reply(w, 200, map[string]uint64{"tether": id})
	})
	mux.HandleFunc("DELETE /holds/{id}", func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, label) {
			return
		}
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		reply(w, 200, struct{}{})
	})
	mux.HandleFunc("GET /follow", func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, label) {
			s.follow(w, r, label)
		}
	})
	return mux
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	prefix, since := r.FormValue("prefix"), r.FormValue("since")
	page, err := strconv.Atoi(r.FormValue("page"))
	if err != nil || page < 1 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) && k > since {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := struct {
		Entries   []entry `json:"entries"`
		Truncated bool    `json:"truncated"`
		Ring      uint64  `json:"ring"`
	}{Entries: []entry{}, Ring: s.ring}
	size := 0
	for _, k := range keys {
		e := s.entries[k]
		if size += len(k) + len(e.V) + 60; len(out.Entries) == page || size > 500<<10 {
			out.Truncated = true
			break
		}
		out.Entries = append(out.Entries, e)
	}
	reply(w, 200, out)
}

type txnRequest struct {
	When []struct {
		Path  string `json:"path"`
		Notch uint64 `json:"notch"`
	} `json:"when"`
	Then []struct {
		Put    string          `json:"put"`
		V      json.RawMessage `json:"v"`
		Tether uint64          `json:"tether"`
		Remove string          `json:"remove"`
	} `json:"then"`
}

func (s *stateService) txn(w http.ResponseWriter, r *http.Request, label string) {
	var t txnRequest
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Then) > s.txnOps || len(t.When) > 4*s.txnOps {
		reply(w, 400, fault{"malformed"})
		return
	}
	for _, op := range t.Then {
		if len(op.V) > s.valueKB<<10 {
			reply(w, 400, fault{"value too large"})
			return
		}
	}
	if s.answerLate != nil {
		if late := s.answerLate(label, &t); late > 0 {
			defer time.Sleep(late)
			s.rec.note("state: the answer to %s comes %v late", label, late)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := float64(len(t.Then)); n > 0 && !s.writes.take(n) {
		reply(w, 429, fault{"too many changes"})
		return
	}
	for _, op := range t.Then {
		if op.Tether != 0 && s.leases[op.Tether] == nil {
			reply(w, 400, fault{"no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range t.When {
		if s.entries[c.Path].Notch != c.Notch {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "ring": s.ring})
		return
	}
	if len(t.Then) > 0 {
		s.ring++
		for _, op := range t.Then {
			if op.Put != "" {
				s.entries[op.Put] = entry{op.Put, op.V, s.ring, op.Tether}
				s.log = append(s.log, change{Put: op.Put, V: op.V, Notch: s.ring})
				s.rec.note("state %s put %s %s (ring %d)", label, op.Put, op.V, s.ring)
			} else {
				delete(s.entries, op.Remove)
				s.log = append(s.log, change{Remove: op.Remove, Notch: s.ring})
				s.rec.note("state %s remove %s (ring %d)", label, op.Remove, s.ring)
			}
		}
		s.wake()
	}
	reply(w, 200, map[string]uint64{"ring": s.ring})
}

func (s *stateService) follow(w http.ResponseWriter, r *http.Request, label string) {
	prefix := r.FormValue("prefix")
	since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64)
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	over := false
	for {
		s.mu.Lock()
		if !s.refused[label] {
			news := []change{}
			for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Notch > since }); i < len(s.log); i++ {
				if strings.HasPrefix(s.log[i].Put+s.log[i].Remove, prefix) {
					news = append(news, s.log[i])
				}
			}
			if len(news) > 0 || over {
				reply(w, 200, map[string]any{"ring": s.ring, "news": news})
				s.mu.Unlock()
				return
			}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
			end = nil
		case <-r.Context().Done():
			return
		}
	}
}

// machineType is the only machine type of the stand-in of the cloud.
type machineType struct {
	Label     string   `json:"label"`
	Cores     float64  `json:"cores"`
	Cards     float64  `json:"cards"`
	RAM       float64  `json:"ram_gb"`
	Cache     float64  `json:"cache_gb"`
	PullRate  float64  `json:"pull_gb_per_s"`
	Rate      float64  `json:"rate"`
	SpotPrice float64  `json:"spot_price"`
	Ready     float64  `json:"ready_s"`
	Patches   []string `json:"patches"`
}

// cloud is a stand-in of the cloud. Its machines are workers of this process.
type cloud struct {
	mu       sync.Mutex
	typ      machineType
	capacity int // machines at a time, in all zones
	boot     time.Duration
	machines map[string]*worker
	answers  map[string][]string // by request
	next     int
	w        *world
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, map[string]any{"stocks": []machineType{c.typ}})
	})
	mux.HandleFunc("POST /rentals", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Plea, Stock, Patch string
			Windfall           bool
			Number             int
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil || q.Number < 1 || q.Number > 50 {
			reply(w, 400, fault{"malformed"})
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		ids, known := c.answers[q.Plea]
		if !known {
			for range q.Number {
				if len(c.machines) >= c.capacity {
					break
				}
				c.next++
				id := fmt.Sprintf("i-%06d", c.next)
				m := newWorker(c.w, id, q.Patch, q.Windfall, c.typ)
				c.machines[id] = m
				ids = append(ids, id)
				time.AfterFunc(c.boot, m.run)
			}
			if len(ids) == 0 {
				reply(w, 503, fault{"no capacity"})
				return
			}
			c.answers[q.Plea] = ids
			c.w.rec.note("cloud rents %v in %s for %s", ids, q.Patch, q.Plea)
		}
		reply(w, 200, map[string]any{"bushes": ids})
	})
	mux.HandleFunc("POST /rentals/return", func(w http.ResponseWriter, r *http.Request) {
		var q struct{ Bushes []string }
		if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Bushes) > 100 {
			reply(w, 400, fault{"malformed"})
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, id := range q.Bushes {
			if m := c.machines[id]; m != nil {
				m.destroy()
				delete(c.machines, id)
			}
		}
		c.w.rec.note("cloud takes back %v", q.Bushes)
		reply(w, 200, struct{}{})
	})
	mux.HandleFunc("GET /rentals", func(w http.ResponseWriter, r *http.Request) {
		type listed struct {
			Ref      string  `json:"ref"`
			Address  string  `json:"address"`
			Stock    string  `json:"stock"`
			Patch    string  `json:"patch"`
			Windfall bool    `json:"windfall"`
			Bloom    string  `json:"bloom"`
			Held     float64 `json:"held_s"`
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		out := []listed{}
		for id, m := range c.machines {
			if held := time.Since(m.rented); held > 10*time.Second && id > r.FormValue("since") {
				out = append(out, listed{id, m.addr, c.typ.Label, m.zone, m.spot, "running", held.Seconds()})
			}
		}
		sort.Slice(out, func(a, b int) bool { return out[a].Ref < out[b].Ref })
		reply(w, 200, map[string]any{"bushes": out, "truncated": false})
	})
	return mux
}

// serve serves a handler on a free loopback address and returns that.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
