package fragment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"unsafe"
)

// beginAfter is the model of a Join, as a net: it returns the pipeline of a job that depends on others, which were submitted before it
// and may have started or finished: a split into the dependencies, and the job as their join. Like
// any join, the job is part of one fragment. The split is finished already.
func beginAfter(job string, dependencies []string) *Pipeline {
	const split = "" // not the ref of a job
	places := []Place{{Out: []string{split}}, {In: []string{job}}}
	for _, d := range dependencies {
		places = append(places, Place{In: []string{split}, Out: []string{d}}, Place{In: []string{d}, Out: []string{job}})
	}
	n, err := NewNet(places)
	if err != nil {
		panic(err) // a net of one split and one join is always valid
	}
	p := Begin(n)
	p.Finish(split, "")
	return p
}

// A Join is ready exactly when the job is in the net of a split into its dependencies, whatever the
// order in which these end, and takes the same memory for any number of them.
func TestJoinAgreesWithNet(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var dependencies []string
		for i := range 1 + rnd.IntN(8) {
			dependencies = append(dependencies, fmt.Sprint("d", i))
		}
		net, join := beginAfter("job", dependencies), NewJoin(append(slices.Clone(dependencies), dependencies[0]))
		for _, i := range rnd.Perm(len(dependencies)) {
			if rnd.IntN(10) == 0 {
				net.Abort(dependencies[i])
				join.Abort()
			} else {
				net.Finish(dependencies[i], "")
				join.Finish()
			}
			if want := slices.Contains(net.Ready(), "job"); join.Ready() != want {
				t.Fatalf("seed %d: ready is %t, want %t", seed, join.Ready(), want)
			}
		}
	}
	if size := unsafe.Sizeof(Join{}); size > 16 {
		t.Errorf("a join takes %d bytes", size)
	}
}
