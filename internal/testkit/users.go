package testkit

import (
	"encoding/json"
	"time"

	"bramblespur/internal/wire"
)

// Ask sends a user's request to a controller, lets the checker verify the answer, and returns it. The
// status is 0 if there is no answer.
func (w *World) Ask(kind Request, label, ref string, body []byte) (status int, state string) {
	method, path, timeout := "POST", wire.JobsPath, submitTimeout
	switch kind {
	case Poll:
		method, path, timeout = "GET", wire.JobsPath+"/"+ref, pollTimeout
	case Cancellation:
		path = wire.JobsPath + "/" + ref + "/" + wire.CancelAction
		w.check.CancellationRequested(ref)
	}
	asked := time.Now()
	type answer struct {
		status int
		body   []byte
	}
	a, err := Call(w.Net, UsersEndpoint, label, timeout, func() (answer, error) {
		n := w.node(label)
		if n == nil {
			return answer{}, ErrRefused
		}
		status, body, err := n.Handle(method, path, body)
		return answer{status, body}, err
	})
	if err != nil {
		return 0, ""
	}
	var s wire.Status
	if len(a.body) > 0 && json.Unmarshal(a.body, &s) != nil {
		return a.status, ""
	}
	w.check.Answered(kind, ref, asked, time.Now(), a.status, s.State)
	return a.status, s.State
}

// Register notes a job's specification and durations before a user submits it.
func (w *World) Register(spec wire.Spec, l JobDurations) {
	w.mu.Lock()
	w.specs[spec.Ref] = spec
	w.durations[spec.Ref] = l
	w.mu.Unlock()
	w.check.JobSubmitted(spec)
}

// Submit registers a job and sends its submission once.
func (w *World) Submit(label string, spec wire.Spec, l JobDurations) (status int, state string) {
	w.Register(spec, l)
	body, _ := json.Marshal(spec)
	return w.Ask(Submission, label, spec.Ref, body)
}

// AskUntilAnswered repeats a request, to one controller after another as a load balancer would,
// until an answer has a state or d has passed.
func (w *World) AskUntilAnswered(kind Request, ref string, body []byte, d time.Duration) (state string, ok bool) {
	end := time.Now().Add(d)
	for i := int(w.rand.Uint32() % uint32(len(w.labels))); time.Now().Before(end); i++ {
		label := w.labels[i%len(w.labels)]
		if w.node(label) == nil {
			if !w.Sleep(10 * time.Millisecond) {
				return "", false
			}
			continue
		}
		if status, state := w.Ask(kind, label, ref, body); status == 200 || status == 201 {
			w.mu.Lock()
			w.lastStates[ref] = state
			w.mu.Unlock()
			return state, true
		}
		if !w.Sleep(time.Second) {
			return "", false
		}
	}
	return "", false
}

// Follow polls a job every few seconds until its state is terminal, as its user does.
func (w *World) Follow(ref string) {
	w.goroutines.Go(func() {
		for {
			state, _ := w.AskUntilAnswered(Poll, ref, nil, 20*time.Second)
			if state == wire.Done || state == wire.Cancelled || !w.Sleep(5*time.Second) {
				return
			}
		}
	})
}

// IsService reports whether a job is a service.
func (w *World) IsService(ref string) bool {
	spec, _ := w.spec(ref)
	return spec.Kind == wire.Service
}

// LastState returns the last state of a job that its user was given.
func (w *World) LastState(ref string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastStates[ref]
}
