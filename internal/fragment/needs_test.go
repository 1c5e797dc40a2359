package fragment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// claimOf is what a job should be given, by its definition.
func claimOf(steps map[string]Step, ref string) Claim {
	c := steps[ref].Claim
	for d, s := range steps {
		for _, r := range s.DependsOn {
			if r != ref {
				continue
			}
			c.Needed = true
			e := claimOf(steps, d)
			c.Rank = max(c.Rank, e.Rank)
			if begin := e.Due.Add(-s.Length); !e.Due.IsZero() && (c.Due.IsZero() || begin.Before(c.Due)) {
				c.Due = begin
			}
		}
	}
	return c
}

// As jobs come, in whatever order they are told, change, are cancelled and end, each
// has the highest priority and the earliest due time of all that need it, and
// whoever's claim changed is named.
func TestNeeds(t *testing.T) {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		n, steps, claims := NewNeeds(), map[string]Step{}, map[string]Claim{}
		all := map[string]Step{} // a job's roots never change
		for range 150 {
			i := rnd.IntN(20)
			ref := fmt.Sprint("j", i)
			var changed []string
			if _, open := steps[ref]; open && rnd.IntN(2) == 0 {
				delete(steps, ref)
				delete(claims, ref)
				changed = n.Remove(ref)
			} else {
				s, seen := all[ref]
				if !seen {
					s = Step{Length: time.Duration(rnd.IntN(60)) * time.Second}
					for r := range i { // only those accepted before
						if rnd.IntN(6) == 0 {
							s.DependsOn = append(s.DependsOn, fmt.Sprint("j", r))
						}
					}
				}
				s.Claim = Claim{Rank: rnd.IntN(4)}
				if rnd.IntN(3) == 0 {
					s.Due = start.Add(time.Duration(rnd.IntN(600)) * time.Second)
				}
				all[ref], steps[ref] = s, s
				changed = n.Set(ref, s)
			}
			for _, c := range changed {
				claims[c] = n.Claim(c)
			}
			for ref := range steps {
				if want := claimOf(steps, ref); claims[ref] != want {
					t.Fatalf("seed %d: %s was told %+v, want %+v", seed, ref, claims[ref], want)
				}
			}
		}
		for ref := range steps {
			n.Remove(ref)
		}
		if len(n.steps)+len(n.claims)+len(n.after) > 0 {
			t.Errorf("seed %d: something is left of jobs that are over", seed)
		}
	}
}
