package fleet

import (
	"math"
	"testing"
)

func TestFairShare(t *testing.T) {
	for name, test := range map[string]struct {
		needs map[string]float64
		check func(map[string]float64) bool
	}{
		"no needs: equal shares": {map[string]float64{"a": 0, "b": 0}, func(shares map[string]float64) bool { return shares["a"] == 10 && shares["b"] == 10 }},
		"a large need gets what the others leave": {map[string]float64{"a": 100, "b": 0, "c": 0, "d": 0}, func(shares map[string]float64) bool {
			return shares["a"] > 11 && shares["b"] >= 2.5
		}},
		"large needs: equal shares":                 {map[string]float64{"a": 100, "b": 50}, func(shares map[string]float64) bool { return shares["a"] == 10 && shares["b"] == 10 }},
		"small needs: each gets more than it needs": {map[string]float64{"a": 8, "b": 2}, func(shares map[string]float64) bool { return shares["a"] >= 10 && shares["b"] >= 5 }},
	} {
		shares := FairShare(20, test.needs)
		sum := 0.0
		for _, v := range shares {
			sum += v
		}
		if math.Abs(sum-20) > 1e-9 {
			t.Errorf("%s: the shares sum up to %v, want the limit of 20", name, sum)
		}
		if !test.check(shares) {
			t.Errorf("%s: unexpected shares %v", name, shares)
		}
	}
}
