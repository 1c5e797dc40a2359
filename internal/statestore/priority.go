package statestore

import "time"

// Purpose says what a request is for. Urgent requests (starts, submissions, leases) may use
// the whole burst; routine ones (status queries, housekeeping) leave part of it free for up to
// reserveTimeout. Both fields determine the priority, and usage is counted by name.
type Purpose struct {
	Name    string
	Routine bool
}

// Urgent returns the purpose of a request whose result is awaited.
func Urgent(name string) Purpose { return Purpose{Name: name} }

// Routine returns the purpose of a request whose result is not awaited.
func Routine(name string) Purpose { return Purpose{Name: name, Routine: true} }

// priority orders the requests that wait for tokens: smaller values go first.
type priority int

const (
	// priorityControl is for what a controller needs to serve at all: its lease and member
	// record, the leadership, its shards and its views.
	priorityControl priority = iota
	// priorityDispatch is for starts of tasks and the requests that starts wait for. They go
	// before submissions since they need few writes, however many starts there are: a shard has
	// one such write in progress at a time, and the next one records all placements made in the
	// meantime.
	priorityDispatch
	// priorityUser is for submissions and cancellations: users wait for them, and retry if they
	// are refused.
	priorityUser
	// priorityAwaited is for completions that users or dependent jobs wait for.
	priorityAwaited
	// priorityCompletion is for other completions, and for transfers and releases of machines.
	// A late one delays what a user is shown, or a machine, but no task that has been placed.
	priorityCompletion
	// priorityBackground is for facts that workers or other records keep in the meantime, and
	// for status queries.
	priorityBackground
	// priorityCount is the number of priorities.
	priorityCount
)

// purposePriorities are the priorities of requests by name of purpose. Urgent requests get no
// lower priority than priorityAwaited. Requests of purposes not listed have priorityDispatch if
// they are urgent, and priorityCompletion if they are routine.
var purposePriorities = map[string]priority{
	"lease":     priorityControl,
	"member":    priorityControl,
	"lead":      priorityControl,
	"claim":     priorityControl,
	"take over": priorityControl,
	"view":      priorityControl,
	"watch":     priorityControl,
	"types":     priorityControl,

	"accept": priorityUser,
	"cancel": priorityUser,

	"job end": priorityCompletion,
	"cascade": priorityCompletion,

	"completions": priorityBackground,
	"split":       priorityBackground,
	"addresses":   priorityBackground,
	"clear":       priorityBackground,
	"strangers":   priorityBackground,
	"poll":        priorityBackground,
	"drain":       priorityBackground,
	"restart":     priorityBackground,
}

// priority returns the priority of requests of this purpose.
func (p Purpose) priority() priority {
	listed, known := purposePriorities[p.Name]
	switch {
	case !known && p.Routine:
		return priorityCompletion
	case !known:
		return priorityDispatch
	case !p.Routine:
		return min(listed, priorityAwaited)
	}
	return listed
}

// maxWaits are the longest times for which requests wait for tokens, by priority, if their callers
// set no earlier deadline. Callers build a refused request again, which then includes what has changed since.
var maxWaits = [priorityCount]time.Duration{
	priorityControl:    2 * time.Second, // half a lease
	priorityDispatch:   10 * time.Second,
	priorityUser:       3 * time.Second, // users wait 5 s at most
	priorityAwaited:    10 * time.Second,
	priorityCompletion: 30 * time.Second,
	priorityBackground: 30 * time.Second,
}
