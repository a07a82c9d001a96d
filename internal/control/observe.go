package control

import (
	"context"
	"sync"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/pools"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/weights"
)

// observation is an engine with its own report.
type observation struct {
	upstream platform.Upstream
	load     engine.Load
}

// asksAtOnce bounds the load reports that are asked for at the same time.
const asksAtOnce = 16

// observe asks every live engine of the failure domain for its report. One that
// does not answer is left out.
func (c *Controller) observe(ctx context.Context, upstreams []platform.Upstream) []observation {
	var mu sync.Mutex
	var observed []observation
	var asks sync.WaitGroup
	places := make(chan struct{}, asksAtOnce)
	for _, u := range upstreams {
		if u.Kind != platform.KindEngine || u.FailureDomain != c.FailureDomain || u.State != platform.UpstreamLive {
			continue
		}
		places <- struct{}{}
		asks.Go(func() {
			defer func() { <-places }()
			load, err := c.Loads.Load(ctx, u.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			observed = append(observed, observation{upstream: u, load: load})
		})
	}
	asks.Wait()
	return observed
}

func weightEngines(observed []observation) []weights.Engine {
	engines := make([]weights.Engine, 0, len(observed))
	for _, o := range observed {
		engines = append(engines, weights.Engine{
			ID:          o.upstream.ID,
			Address:     o.upstream.Address,
			Model:       o.load.Model,
			Incarnation: o.load.Incarnation,
			Version:     o.load.WeightVersion,
			Busy:        o.load.Running + o.load.Waiting,
			Slots:       o.upstream.Slots,
		})
	}
	return engines
}

func poolEngines(observed []observation) []pools.Engine {
	engines := make([]pools.Engine, 0, len(observed))
	for _, o := range observed {
		engines = append(engines, pools.Engine{
			ID:        o.upstream.ID,
			Address:   o.upstream.Address,
			Pool:      pools.Pool{Model: o.load.Model, Adapter: o.load.Adapter},
			Adaptable: o.upstream.Adaptable,
			Busy:      o.load.Running + o.load.Waiting,
			Slots:     o.upstream.Slots,
		})
	}
	return engines
}

// latest returns the newest version of each model.
func latest(versions []platform.WeightVersion) map[string]int64 {
	byModel := make(map[string]int64, len(versions))
	for _, v := range versions {
		byModel[v.Model] = max(byModel[v.Model], v.Version)
	}
	return byModel
}

// queued returns how many requests wait for each pool.
func queued(demands []provision.Demand) map[pools.Pool]int {
	byPool := make(map[pools.Pool]int)
	for _, d := range demands {
		byPool[pools.Pool{Model: d.Model, Adapter: d.Adapter}] += d.Queued
	}
	return byPool
}
