package simulator

import (
	"os"
	"strconv"
)

// Seeds is the range of seeds that a randomized test runs.
type Seeds struct{ First, Count int64 }

// SeedsFromEnv returns the seeds from 1 to count, or those set in the environment:
// with the name "CLAIMER", CLAIMER_SEED is the first seed and CLAIMER_RUNS
// their number. CI sets neither, so it runs the same seeds each time.
func SeedsFromEnv(name string, count int64) Seeds {
	return Seeds{First: envInt(name+"_SEED", 1), Count: envInt(name+"_RUNS", count)}
}

// End returns the seed after the last.
func (s Seeds) End() int64 { return s.First + s.Count }

// TooFewForCounts reports whether there are too few seeds for checks of aggregate
// counts, as when one seed is reproduced.
func (s Seeds) TooFewForCounts() bool { return s.Count < fewSeeds }

// fewSeeds is the number of seeds from which aggregate counts are checked.
const fewSeeds = 100

// envInt returns a positive number from the environment, or the fallback.
func envInt(name string, fallback int64) int64 {
	n, err := strconv.ParseInt(os.Getenv(name), 10, 64)
	if err != nil || n < 1 {
		return fallback
	}
	return n
}
