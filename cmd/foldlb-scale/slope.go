package main

import "gonum.org/v1/gonum/stat"

// Goals of the operators' plan.
const (
	planDispatchers   = 1800
	planDestinations  = 220_000
	planChangesPerDay = 7700
	planInForceMs     = 9000
	planCorePercent   = 2.2
	planMemoryMb      = 256
	planBytesPerS     = 6000
	planBacklog       = 13e9
	secondsPerDay     = 86400
)

// line is a straight line through measured points.
type line struct {
	constant float64
	slope    float64
}

// fit returns the line of least squares.
func fit(xs, ys []float64) line {
	if len(xs) < 2 {
		return line{}
	}
	constant, slope := stat.LinearRegression(xs, ys, nil, false)
	return line{constant: constant, slope: slope}
}

// at is the value of the line, extrapolated where x is outside the points.
func (l line) at(x float64) float64 { return l.constant + l.slope*x }

// seriesOf takes the points that meet a condition as two lists.
func seriesOf(points []point, keep func(point) bool, x, y func(point) float64) (xs, ys []float64) {
	for _, each := range points {
		if keep(each) {
			xs = append(xs, x(each))
			ys = append(ys, y(each))
		}
	}
	return xs, ys
}

// whole reports whether every hollow dispatcher of a point followed.
func whole(p point) bool { return p.Following == p.Dispatchers }

func always(point) bool { return true }

// quickList reports whether the list took many calls, so that the time to read it does not hide the rest.
func quickList(p point) bool { return p.ListCallsPerS > plainCloudRate }

func dispatchersOf(p point) float64  { return float64(p.Dispatchers) }
func destinationsOf(p point) float64 { return float64(p.Destinations) }
func routesOf(p point) float64       { return float64(p.Routes) }

// bytesPerChange is what one dispatcher reads for one change above what it reads at rest.
func bytesPerChange(p point) float64 {
	changing, steady := p.Changing[roleHollow], p.Steady[roleHollow]
	if p.ChangesPerS == 0 {
		return 0
	}
	return (changing.ReadBytesS + changing.WriteBytesS - steady.ReadBytesS - steady.WriteBytesS) / p.ChangesPerS
}

// plannedBytesPerS is what one dispatcher would move at the plan's changes a day: computed from two measured figures.
func plannedBytesPerS(p point) float64 {
	steady := p.Steady[roleHollow]
	return steady.ReadBytesS + steady.WriteBytesS + bytesPerChange(p)*planChangesPerDay/secondsPerDay
}

// cpuMsPerChange is the processor time of one change in a role, above that at rest.
func cpuMsPerChange(p point, role string) float64 {
	changing, steady := p.Changing[role], p.Steady[role]
	if p.ChangesPerS == 0 {
		return 0
	}
	return (changing.CorePercent - steady.CorePercent) * 10 / p.ChangesPerS
}
