package fragment

import "time"

// The paper's release ignores what its jobs are worth and how long they take, so
// that an early step may wait behind work that matters less, and make the last one
// late. Needs tells what a job inherits from those that need it.

// Claim is what a job asks for, or what it is to be given since others need it.
type Claim struct {
	Rank int       // priority
	Due  time.Time // when it is to be done; zero: whenever
	// Needed says that others wait for its end.
	Needed bool
}

// Step is an open job among those that need each other.
type Step struct {
	Claim
	DependsOn []string
	Length    time.Duration // estimated
}

// Needs is the open jobs and what they need. It is not safe for concurrent use.
type Needs struct {
	steps  map[string]Step
	claims map[string]Claim
	after  map[string]map[string]struct{} // open jobs that need one, open or not
}

// NewNeeds returns one without jobs.
func NewNeeds() *Needs {
	return &Needs{steps: map[string]Step{}, claims: map[string]Claim{}, after: map[string]map[string]struct{}{}}
}

// Set takes in an open job, new or changed, and returns the jobs whose claims
// changed.
func (n *Needs) Set(ref string, s Step) []string {
	if _, known := n.steps[ref]; !known {
		for _, r := range s.DependsOn {
			if n.after[r] == nil {
				n.after[r] = map[string]struct{}{}
			}
			n.after[r][ref] = struct{}{}
		}
	}
	n.steps[ref] = s
	return n.weigh(ref)
}

// Remove takes a job out that is over, and returns the jobs whose claims changed.
func (n *Needs) Remove(ref string) []string {
	s, known := n.steps[ref]
	if !known {
		return nil
	}
	delete(n.steps, ref)
	delete(n.claims, ref)
	for _, r := range s.DependsOn {
		if delete(n.after[r], ref); len(n.after[r]) == 0 {
			delete(n.after, r)
		}
	}
	var changed []string
	for _, r := range s.DependsOn {
		changed = append(changed, n.weigh(r)...)
	}
	return changed
}

// Claim returns what an open job is to be given.
func (n *Needs) Claim(ref string) Claim { return n.claims[ref] }

// After returns the open jobs that need one directly.
func (n *Needs) After(ref string) map[string]struct{} { return n.after[ref] }

// Each calls f for every job, open or not, that open ones need directly.
func (n *Needs) Each(f func(root string, after map[string]struct{})) {
	for r, a := range n.after {
		f(r, a)
	}
}

// weigh computes a job's claim anew, and of those before it if it changed: the
// highest priority of all that need it, and the earliest time by which these must
// begin. Nobody can name a job that was not accepted before, so there is no cycle.
func (n *Needs) weigh(ref string) []string {
	s, open := n.steps[ref]
	if !open {
		return nil
	}
	c := s.Claim
	c.Needed = len(n.after[ref]) > 0
	for d := range n.after[ref] {
		e := n.claims[d]
		c.Rank = max(c.Rank, e.Rank)
		if begin := e.Due.Add(-n.steps[d].Length); !e.Due.IsZero() && (c.Due.IsZero() || begin.Before(c.Due)) {
			c.Due = begin
		}
	}
	if old, known := n.claims[ref]; known && old.Rank == c.Rank && old.Due.Equal(c.Due) && old.Needed == c.Needed {
		return nil
	}
	n.claims[ref] = c
	changed := []string{ref}
	for _, r := range s.DependsOn {
		changed = append(changed, n.weigh(r)...)
	}
	return changed
}
