package bencher

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Matrix is the set of runs for every combination of deployment, shape, policy and
// seed. Length is how long requests arrive in each run.
type Matrix struct {
	Deployments []Deployment
	Shapes      []Shape
	Policies    []Policy
	Seeds       []uint64
	Length      time.Duration
	// Workers is the number of concurrent runs.
	Workers int
}

// Do executes all runs and returns the results in an order that does not depend on
// Workers.
func (m *Matrix) Do() []Result {
	results := make([]Result, len(m.Deployments)*len(m.Shapes)*len(m.Policies)*len(m.Seeds))
	var group errgroup.Group
	group.SetLimit(max(m.Workers, 1))
	for i := range results {
		group.Go(func() error { return m.runOne(&results[i], i) })
	}
	// A run returns no error: it cannot fail.
	_ = group.Wait()
	return results
}

func (m *Matrix) runOne(result *Result, number int) error {
	*result = Do(m.run(number))
	return nil
}

// run returns the i-th run: seeds vary fastest, then policies, shapes and
// deployments.
func (m *Matrix) run(i int) Run {
	seed := m.Seeds[i%len(m.Seeds)]
	i /= len(m.Seeds)
	policy := m.Policies[i%len(m.Policies)]
	i /= len(m.Policies)
	shape := m.Shapes[i%len(m.Shapes)]
	i /= len(m.Shapes)
	return Run{Deployment: m.Deployments[i], Shape: shape, Policy: policy, Seed: seed, Length: m.Length}
}

// Row is the mean over the seeds of one deployment, shape and policy.
type Row struct {
	Deployment string `json:"deployment"`
	Shape      string `json:"shape"`
	Policy     string `json:"policy"`
	Seeds      int    `json:"seeds"`
	// Urgent is the mean and Worst the minimum over the seeds. Over is the sum of
	// the overcommits; the other fields are means as in Result.
	Urgent      float64   `json:"urgent"`
	Worst       float64   `json:"worst"`
	Bound       float64   `json:"bound"`
	Service     float64   `json:"service"`
	PerEngine   float64   `json:"perengine"`
	Deferred    float64   `json:"deferred"`
	Moves       float64   `json:"moves"`
	Adapters    float64   `json:"adapters"`
	First       Quantiles `json:"first"`
	InterToken  Quantiles `json:"between"`
	Rejected    float64   `json:"rejected"`
	Late        float64   `json:"late"`
	Expired     float64   `json:"expired"`
	Fairness    float64   `json:"fairness"`
	Recovery    float64   `json:"recovery"`
	Unreachable float64   `json:"unreachable"`
	Over        int       `json:"over"`
	Timeline    []float64 `json:"course"`
}

// Rows returns one row for each deployment, shape and policy, in the order of their
// first results.
func Rows(results []Result) []Row {
	type key struct{ deployment, shape, policy string }
	var order []key
	groups := map[key][]Result{}
	for _, r := range results {
		k := key{r.Deployment, r.Shape, r.Policy}
		if _, ok := groups[k]; !ok {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	rows := make([]Row, 0, len(order))
	for _, k := range order {
		rows = append(rows, rowOf(groups[k]))
	}
	return rows
}

func rowOf(group []Result) Row {
	mean := func(of func(Result) float64) float64 {
		sum := 0.0
		for _, r := range group {
			sum += of(r)
		}
		return sum / float64(len(group))
	}
	quantiles := func(of func(Result) Quantiles) Quantiles {
		return Quantiles{
			P50: mean(func(r Result) float64 { return of(r).P50 }),
			P95: mean(func(r Result) float64 { return of(r).P95 }),
			P99: mean(func(r Result) float64 { return of(r).P99 }),
		}
	}
	first := group[0]
	row := Row{
		Deployment: first.Deployment, Shape: first.Shape, Policy: first.Policy, Seeds: len(group),
		Urgent:      mean(func(r Result) float64 { return r.Urgent }),
		Worst:       slices.MinFunc(group, func(a, b Result) int { return cmp.Compare(a.Urgent, b.Urgent) }).Urgent,
		Bound:       mean(func(r Result) float64 { return r.Bound }),
		Service:     mean(func(r Result) float64 { return r.Service }),
		PerEngine:   mean(func(r Result) float64 { return r.PerEngine }),
		Deferred:    mean(func(r Result) float64 { return r.Deferred }),
		Moves:       mean(func(r Result) float64 { return float64(r.Moves) }),
		Adapters:    mean(func(r Result) float64 { return float64(r.Adapters) }),
		First:       quantiles(func(r Result) Quantiles { return r.First }),
		InterToken:  quantiles(func(r Result) Quantiles { return r.InterToken }),
		Rejected:    mean(func(r Result) float64 { return float64(sumOf(r, func(c ClassResult) int { return c.Rejected })) }),
		Late:        mean(func(r Result) float64 { return float64(sumOf(r, func(c ClassResult) int { return c.Late })) }),
		Expired:     mean(func(r Result) float64 { return float64(r.Expired) }),
		Fairness:    mean(func(r Result) float64 { return r.Fairness }),
		Recovery:    mean(func(r Result) float64 { return r.Recovery }),
		Unreachable: mean(func(r Result) float64 { return r.Unreachable }),
	}
	for _, r := range group {
		row.Over += r.Overcommitted
	}
	for i := range first.Timeline {
		row.Timeline = append(row.Timeline, mean(func(r Result) float64 { return r.Timeline[i] }))
	}
	return row
}

// sumOf sums a count over all classes that are not deferred.
func sumOf(r Result, of func(ClassResult) int) int {
	sum := 0
	for _, c := range r.Classes {
		if !c.Deferred {
			sum += of(c)
		}
	}
	return sum
}
