package cascade

import "math"

// A moments holds a moving mean and a moving mean deviation.
type moments struct{ mean, deviation float64 }

func (m *moments) add(x, weight float64) {
	m.deviation += weight * (math.Abs(x-m.mean) - m.deviation)
	m.mean += weight * (x - m.mean)
}

// normalDeviation is the standard deviation of a normal distribution as a multiple of its
// mean deviation.
const normalDeviation = 1.2533

// A trend is a moving linear regression of y on x.
type trend struct {
	x, y       float64 // means
	xx, yy, xy float64 // variances and covariance
}

func (t *trend) add(x, y, weight float64) {
	dx, dy := x-t.x, y-t.y
	t.x += weight * dx
	t.y += weight * dy
	t.xx += weight * (dx*dx - t.xx)
	t.yy += weight * (dy*dy - t.yy)
	t.xy += weight * (dx*dy - t.xy)
}

// slope returns by how much y rises with x.
func (t *trend) slope() float64 {
	if t.xx <= 0 {
		return 0
	}
	return t.xy / t.xx
}

// predict returns the expected y and its standard deviation.
func (t *trend) predict(x float64) (mean, deviation float64) {
	return t.y + t.slope()*(x-t.x), math.Sqrt(math.Max(0, t.yy-t.slope()*t.xy))
}

// normalShare returns the share of a standard normal distribution below z.
func normalShare(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }
