package capacity

import "time"

const (
	// lineDecay is the factor by which earlier observations count less with each new one.
	lineDecay = 0.995
	// lineSamples is the number of observations that the assumed line counts as.
	lineSamples = 20.0
)

// A Line is the time that something takes by its size, fitted to observations by least
// squares, the newest counted most. It starts from an assumption.
type Line struct {
	// Base and PerUnit are the assumed line. PerUnit also bounds the slope, which stays
	// within a factor of maxSlope of it.
	Base    time.Duration
	PerUnit time.Duration
	// Unit is the size that takes PerUnit.
	Unit float64

	n, x, y, xx, xy float64 // sums over observations; x in units, y in seconds
}

// maxSlope bounds the slope of a Line against the assumed one, either way.
const maxSlope = 8.0

// Record adds an observation.
func (l *Line) Record(size float64, took time.Duration) {
	x, y := size/l.Unit, took.Seconds()
	l.n = l.n*lineDecay + 1
	l.x = l.x*lineDecay + x
	l.y = l.y*lineDecay + y
	l.xx = l.xx*lineDecay + x*x
	l.xy = l.xy*lineDecay + x*y
}

// fit returns the time at size 0 and that of a unit, in seconds.
func (l *Line) fit() (base, slope float64) {
	assumed := l.PerUnit.Seconds()
	if l.n == 0 {
		return l.Base.Seconds(), assumed
	}
	// The assumption counts as further observations that share the mean and have unit variance.
	meanX, meanY := l.x/l.n, l.y/l.n
	spread := l.xx - l.n*meanX*meanX + lineSamples
	slope = (l.xy - l.n*meanX*meanY + lineSamples*assumed) / spread
	slope = min(assumed*maxSlope, max(assumed/maxSlope, slope))
	meanX, meanY = l.x/(l.n+1), (l.y+l.Base.Seconds())/(l.n+1)
	return max(0, meanY-slope*meanX), slope
}

// At returns the time that a size takes.
func (l *Line) At(size float64) time.Duration {
	base, slope := l.fit()
	return time.Duration((base + slope*size/l.Unit) * float64(time.Second))
}

// PerSize returns the seconds that one more of size takes.
func (l *Line) PerSize() float64 {
	_, slope := l.fit()
	return slope / l.Unit
}
