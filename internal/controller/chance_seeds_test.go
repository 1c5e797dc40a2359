package controller

import (
	"fmt"
	"os"
	"testing"
)

// seedsVariable is the environment variable that selects the seeds of TestTroublesByChance, as
// "first-last". Without it the seeds from 1 to chanceSeeds are run.
const seedsVariable = "CHANCE_SEEDS"

// chanceSeeds is how many seeds are run on each layout by default.
const chanceSeeds = 12

// seedRange is the first and the last of the seeds to run, as numbered in the names of subtests.
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

// seedsToRun returns the seeds of TestTroublesByChance that this run of the tests covers.
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
			t.Errorf("%q is parsed as %v with error %v, not as listed", text, got, err)
		}
	}
	for _, text := range []string{"", "7", "7-", "-7", "0-3", "9-8", "a-b", "1-2-3", "1-2x", "1-99999999999999999999999"} {
		if got, err := parseSeedRange(text); err == nil {
			t.Errorf("%q is parsed as %v, want an error", text, got)
		}
	}
}
