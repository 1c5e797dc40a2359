package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryLimit is the part of the platform that kills a process that holds more memory than its settings
// allow, and starts it again after the time of the brief.
type memoryLimit struct {
	c      *cluster
	killed atomic.Int64
	end    chan struct{}
	wg     sync.WaitGroup
}

// limitMemory limits the memory of all controllers until stop is called.
func (c *cluster) limitMemory() *memoryLimit {
	l := &memoryLimit{c: c, end: make(chan struct{})}
	for _, label := range labels {
		l.wg.Go(func() {
			for l.sleep(50*time.Millisecond) && l.check(label) {
			}
		})
	}
	return l
}

// sleep waits, and returns false if the limit was stopped.
func (l *memoryLimit) sleep(d time.Duration) bool {
	select {
	case <-l.end:
		return false
	case <-time.After(d):
		return true
	}
}

// check kills a controller that is over its limit and starts it again. It returns false if the limit was
// stopped.
func (l *memoryLimit) check(label string) bool {
	held := l.c.memory(label)
	if held <= l.c.site.memoryMB {
		return true
	}
	l.c.rec.say("controller %s holds %.0f MB of %.0f: killed", label, held, l.c.site.memoryMB)
	l.c.kill(label)
	l.killed.Add(1)
	if !l.sleep(l.c.site.restart) {
		return false
	}
	if err := l.c.start(label); err != nil {
		l.c.rec.say("controller %s not started: %v", label, err)
	}
	return true
}

// kills returns how often a controller was killed.
func (l *memoryLimit) kills() int64 { return l.killed.Load() }

func (l *memoryLimit) stop() {
	close(l.end)
	l.wg.Wait()
}

// memory returns the resident memory of a controller's process in MB, 0 if it does not run.
func (c *cluster) memory(label string) float64 {
	c.mu.Lock()
	cmd := c.procs[label]
	c.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}
