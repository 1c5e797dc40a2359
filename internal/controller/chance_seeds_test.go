package controller

import (
	"fmt"
	"os"
	"testing"
)

// seedsVariable names the seeds of a search through chance schedules, as "first-last"; without it
// the fixed list is played.
const seedsVariable = "CHANCE_SEEDS"

// chanceSeeds is how many seeds are played on each layout.
const chanceSeeds = 12

// seedRange is seeds by the numbers in the names of their tests.
type seedRange struct{ first, last uint64 }

func parseSeedRange(text string) (seedRange, error) {
	var r seedRange
	var rest string
	n, _ := fmt.Sscanf(text+" end", "%d-%d%s", &r.first, &r.last, &rest)
	if n != 3 || rest != "end" || r.first < 1 || r.last < r.first {
		return seedRange{}, fmt.Errorf("%s=%q: want the first and the last seed, as 1-12", seedsVariable, text)
	}
	return r, nil
}

// seedsToRun returns the seeds of chance schedules that this run plays.
func seedsToRun(t *testing.T) seedRange {
	t.Helper()
	text, set := os.LookupEnv(seedsVariable)
	if !set {
		return seedRange{1, chanceSeeds}
	}
	r, err := parseSeedRange(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestSeedRange(t *testing.T) {
	for text, want := range map[string]seedRange{"1-12": {1, 12}, "799-799": {799, 799}} {
		if got, err := parseSeedRange(text); err != nil || got != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "7", "7-", "-7", "0-3", "9-8", "a-b", "1-2-3", "1-2x", "1-99999999999999999999999"} {
		if got, err := parseSeedRange(text); err == nil {
			t.Errorf("%q is taken as %v", text, got)
		}
	}
}
