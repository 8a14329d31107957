package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
)

// figuresEvery is the time between two lines of figures: seldom enough for the logs of hundreds of dispatchers.
const figuresEvery = time.Minute

// logFigures logs what this process did, at a steady low rate, in fields that can be summed over a fleet.
func (n *node) logFigures(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.loop.Post(core.FiguresAsked{})
		case f := <-n.tallies:
			n.log.WithFields(n.figures(f)).Info("figures")
		}
	}
}

// figures names a tally's figures and those of the connections. All but the last four count from the process's start.
func (n *node) figures(f core.Figures) logrus.Fields {
	opened, refused := n.workers.Connections()
	calls, failures := n.routes.CallCounts()
	t := f.Tally
	return logrus.Fields{"requests": t.Calls, "attempts": t.Branches, "moves": t.Moves, "refused_at_once": t.RefusedAtOnce,
		"refused_tried": t.RefusedTried, "failed": t.Failed, "connections": opened, "connections_refused": refused,
		"list_calls": calls, "list_failures": failures, "lists_doubted": t.ListsDoubted,
		"list_version": f.Version, "quote_workers": f.View.Known, "avoided": f.View.Excluded, "open": f.Open}
}
