package fleet

import (
	"math"
	"testing"
)

func TestFairShare(t *testing.T) {
	for name, x := range map[string]struct {
		needs map[string]float64
		check func(map[string]float64) bool
	}{
		"nobody needs anything: alike": {map[string]float64{"a": 0, "b": 0}, func(g map[string]float64) bool { return g["a"] == 10 && g["b"] == 10 }},
		"the busy one gets what others leave": {map[string]float64{"a": 100, "b": 0, "c": 0, "d": 0}, func(g map[string]float64) bool {
			return g["a"] > 11 && g["b"] >= 2.5
		}},
		"all busy: alike":          {map[string]float64{"a": 100, "b": 50}, func(g map[string]float64) bool { return g["a"] == 10 && g["b"] == 10 }},
		"enough for all: all more": {map[string]float64{"a": 8, "b": 2}, func(g map[string]float64) bool { return g["a"] >= 10 && g["b"] >= 5 }},
	} {
		g := FairShare(20, x.needs)
		sum := 0.0
		for _, v := range g {
			sum += v
		}
		if math.Abs(sum-20) > 1e-9 {
			t.Errorf("%s: gives %v in all", name, sum)
		}
		if !x.check(g) {
			t.Errorf("%s: %v", name, g)
		}
	}
}
