package choose

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
)

func TestTrial(t *testing.T) {
	ways := []string{WayTwoChoices, WayFallback, WayCoordinated, WayIdeal}
	loads := []float64{0.5, 0.7, 0.85, 0.95, 2}
	seeds := []uint64{1, 2, 3}
	if os.Getenv("FB") != "" {
		loads = []float64{0.5, 0.7, 0.85}
		seeds = []uint64{1, 2, 3, 4, 5, 6, 7}
	}
	if s := os.Getenv("WAYS"); s != "" {
		ways = append(strings.Split(s, ","), WayIdeal)
	}
	type key struct {
		c, l, w int
	}
	res := map[key][]Result{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan bool, 10)
	for ci, d := range Deployments() {
		for li, load := range loads {
			for wi, w := range ways {
				for _, s := range seeds {
					wg.Go(func() {
						sem <- true
						c := d
						c.Load = load
						c.Calls = 60000
						r := Run(c, w, s)
						<-sem
						mu.Lock()
						res[key{ci, li, wi}] = append(res[key{ci, li, wi}], r)
						mu.Unlock()
					})
				}
			}
		}
	}
	wg.Wait()
	med := func(rs []Result, f func(Result) float64) float64 {
		v := []float64{}
		for _, r := range rs {
			v = append(v, f(r))
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	for ci, d := range Deployments() {
		for li, load := range loads {
			id := res[key{ci, li, len(ways) - 1}]
			fmt.Printf("%-24s %.2f ideal p99 %6.1f", d.Name, load, med(id, func(r Result) float64 { return float64(r.P99) / 1e6 }))
			for wi, w := range ways[:len(ways)-1] {
				rs := res[key{ci, li, wi}]
				p := func(r Result) float64 { return float64(r.P99) }
				g := func(r Result) float64 { return r.Goodput }
				ref := med(rs, func(r Result) float64 {
					n := 0
					for _, x := range r.Refused {
						n += x
					}
					return float64(n)
				})
				fmt.Printf(" | %s p50 %.1f x%.2f max x%.2f g %.3f ref %.0f late %.0f m %.1f", w[:3], med(rs, func(r Result) float64 { return float64(r.P50) / 1e6 }), med(rs, p)/med(id, p), maxf(rs, p)/med(id, p), med(rs, g)/med(id, g), ref, med(rs, func(r Result) float64 { return float64(r.Late) }), rs[0].Messages)
			}
			fmt.Println()
		}
	}
}

func maxf(rs []Result, f func(Result) float64) float64 {
	m := 0.0
	for _, r := range rs {
		m = max(m, f(r))
	}
	return m
}

func TestTrialScenarios(t *testing.T) {
	c := Deployments()[0]
	c.Calls = 60000
	for _, s := range Scenarios() {
		for seed := range uint64(3) {
			r := RunScenario(c, s, seed+1)
			fmt.Printf("%-40s p50 %.1f p99 %.1f x%.2f unsettled %d failed %d late %d refused %v reached %d last %s local %.2f\n", s.Name, float64(r.P50)/1e6, float64(r.P99)/1e6, float64(r.P99)/float64(r.IdealP99), r.Unsettled, r.Failed, r.Late, r.Refused, r.Reached, r.LastReached, r.Local)
		}
	}
}
