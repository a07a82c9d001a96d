package control

import (
	"context"
	"slices"
	"sync"

	"dogwoodpond/internal/engine"
	"dogwoodpond/internal/enginepool"
	"dogwoodpond/internal/lease"
	"dogwoodpond/internal/platformapi"
	"dogwoodpond/internal/provision"
	"dogwoodpond/internal/weightupdate"
)

// observation is an engine with its load report.
type observation struct {
	upstream platformapi.Upstream
	load     engine.Load
}

// maxLoadReads limits the load reports that are read concurrently.
const maxLoadReads = 16

// observe reads the load reports of all live engines of the failure domain. It
// omits engines that do not answer.
func (c *Controller) observe(ctx context.Context, upstreams []platformapi.Upstream) []observation {
	var mu sync.Mutex
	var observed []observation
	var reads sync.WaitGroup
	sem := make(chan struct{}, maxLoadReads)
	for _, u := range upstreams {
		if u.Kind != platformapi.KindEngine || u.FailureDomain != c.FailureDomain || u.State != platformapi.UpstreamLive {
			continue
		}
		sem <- struct{}{}
		reads.Go(func() {
			defer func() { <-sem }()
			load, err := c.LoadReader.LoadReport(ctx, u.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			observed = append(observed, observation{upstream: u, load: load})
		})
	}
	reads.Wait()
	return observed
}

// withoutPending returns the engines at which no order of an earlier holder may still take
// effect.
func (c *Controller) withoutPending(guard lease.Guard, observed []observation) []observation {
	return slices.DeleteFunc(observed, func(o observation) bool {
		return !lease.MayActAt(guard, o.upstream.ID, c.OrderTimeout)
	})
}

func weightEngines(observed []observation) []weightupdate.Engine {
	engines := make([]weightupdate.Engine, 0, len(observed))
	for _, o := range observed {
		engines = append(engines, weightupdate.Engine{
			ID:          o.upstream.ID,
			Address:     o.upstream.Address,
			Model:       o.load.Model,
			Incarnation: o.load.Incarnation,
			Version:     o.load.WeightVersion,
			Requests:    o.load.Running + o.load.Waiting,
			Slots:       o.upstream.Slots,
		})
	}
	return engines
}

func poolEngines(observed []observation) []enginepool.Engine {
	engines := make([]enginepool.Engine, 0, len(observed))
	for _, o := range observed {
		engines = append(engines, enginepool.Engine{
			ID:        o.upstream.ID,
			Address:   o.upstream.Address,
			Pool:      enginepool.Pool{Model: o.load.Model, Adapter: o.load.Adapter},
			Adaptable: o.upstream.Adaptable,
			Requests:  o.load.Running + o.load.Waiting,
			Slots:     o.upstream.Slots,
		})
	}
	return engines
}

// latestVersions returns the newest published version of each model.
func latestVersions(versions []platformapi.WeightVersion) map[string]int64 {
	byModel := make(map[string]int64, len(versions))
	for _, v := range versions {
		byModel[v.Model] = max(byModel[v.Model], v.Version)
	}
	return byModel
}

// queuedByPool returns the number of queued requests of each pool.
func queuedByPool(demands []provision.Demand) map[enginepool.Pool]int {
	byPool := make(map[enginepool.Pool]int)
	for _, d := range demands {
		byPool[enginepool.Pool{Model: d.Model, Adapter: d.Adapter}] += d.Queued
	}
	return byPool
}
