package controller

import (
	"testing"
	"time"

	"bramblespur/internal/config"
	"bramblespur/internal/record"
	"bramblespur/internal/testkit"
)

// reliefCase is what a leader c-0 knows: who owns each part, and who is overloaded or
// has room.
type reliefCase struct {
	owners     [3]string // of the parts of c-0, c-1 and c-2
	overloaded string
	room       []string
	part       int
	to         string // "": nobody
}

// A part goes from an overloaded controller to one that has room, and not to one that
// carries another's already: parts would overload one after the other.
func TestWhoIsRelieved(t *testing.T) {
	home := [3]string{"c-0", "c-1", "c-2"}
	for name, r := range map[string]reliefCase{
		"nobody is overloaded":           {owners: home, room: []string{"c-0", "c-1", "c-2"}},
		"one with room":                  {owners: home, overloaded: "c-1", room: []string{"c-2"}, part: 1, to: "c-2"},
		"the leader has room":            {owners: home, overloaded: "c-1", room: []string{"c-0"}, part: 1, to: "c-0"},
		"nobody has room":                {owners: home, overloaded: "c-1"},
		"it carries another's already":   {owners: [3]string{"c-0", "c-1", "c-0"}, overloaded: "c-1", room: []string{"c-0"}},
		"first what is not at home":      {owners: [3]string{"c-1", "c-1", "c-2"}, overloaded: "c-1", room: []string{"c-2"}, part: 0, to: "c-2"},
		"the one with the fewest parts":  {owners: [3]string{"c-0", "c-1", "c-1"}, overloaded: "c-1", room: []string{"c-0", "c-2"}, part: 2, to: "c-2"},
		"an owner that is not there any": {owners: [3]string{"c-0", "c-9", "c-2"}, overloaded: "c-9", room: []string{"c-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c, owners := reliefLeader(t, &r, now)
			got := c.rebalance(home[:], owners, now)
			if got.to != r.to || (r.to != "" && got.part != r.part) {
				t.Fatalf("part %d to %q, want %d to %q", got.part, got.to, r.part, r.to)
			}
			if r.to == "" {
				return
			}
			// It is asked for again until it shows, and nothing else is picked meanwhile.
			if again := c.rebalance(home[:], owners, now.Add(time.Second)); again != got {
				t.Errorf("then %+v, first %+v", again, got)
			}
			owners[got.part] = got.to
			if more := c.rebalance(home[:], owners, now.Add(2*time.Second)); more.to != "" {
				t.Errorf("part %d to %s right after", more.part, more.to)
			}
		})
	}
}

// reliefLeader returns the leader c-0 and the parts' owners.
func reliefLeader(t *testing.T, r *reliefCase, now time.Time) (*Controller, map[int]string) {
	t.Helper()
	c := newTest(t, testkit.NewState())
	c.cfg.Params.Count = 3
	c.cfg.Peers = []config.Peer{{Label: "c-1"}, {Label: "c-2"}}
	c.leadership = &leadership{}
	for _, label := range c.cfg.Labels() {
		c.members[label] = record.Member{Incarnation: 1, Overloaded: label == r.overloaded}
		c.peerLoads[label] = peerLoad{at: now, recovering: true}
	}
	c.pressure.longMean = 2 * lateRoom
	for _, label := range r.room {
		c.peerLoads[label] = peerLoad{at: now, hasRoom: true}
		if label == c.cfg.Label {
			c.pressure.longMean = 0
		}
	}
	owners := map[int]string{}
	for part, owner := range r.owners {
		owners[part] = owner
	}
	return c, owners
}
