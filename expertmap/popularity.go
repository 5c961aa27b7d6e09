package expertmap

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrInvalidReport is wrapped by errors about a report that cannot be used.
var ErrInvalidReport = errors.New("expertmap: invalid report")

// Parameters of the popularity estimate.
const (
	// peakHalfLife is the half-life with which a recorded peak decays towards
	// the current share.
	peakHalfLife = time.Hour
	// An expert counts as fallen when its share is below fallenFraction of its
	// peak, and as returned when it is at least returnedFraction of it again.
	// Experts whose peak is below minPeakOverMean times the mean share are
	// ignored.
	fallenFraction   = 0.5
	returnedFraction = 0.8
	minPeakOverMean  = 1.5
	// minReturnInterval is the time within which several returns count as one.
	minReturnInterval = 5 * time.Minute
	// alternationWindow is the time for which a layer counts as alternating
	// after the last but one return.
	alternationWindow = time.Hour
	// minStableTime and maxStableTime bound the time for which a popularity is
	// expected to be stable.
	minStableTime = 2 * time.Minute
	maxStableTime = 30 * time.Minute
	// minReports is the number of reports of a layer from which its popularity
	// counts as known.
	minReports = 8
	// minEffectiveReports is the effective number of reports from which a slope
	// is fitted.
	minEffectiveReports = 3
	// priorReports is the weight, as a number of reports, of the mean noise of
	// all experts in the noise estimate of a single expert.
	priorReports = 8
	// slopeSignificance is the t-value of a slope up to which it is treated as
	// noise.
	slopeSignificance = 1
	// shiftSignificance is the deviation of a faster from a slower estimate, in
	// standard errors of the faster one, up to which it is treated as noise.
	shiftSignificance = 2
	// maxReportAge is the age, relative to the newest report of the layer,
	// beyond which a report is ignored.
	maxReportAge = 2 * time.Minute
	// maxExtrapolationFactor is the greatest factor by which an extrapolated
	// share may differ from the mean of the fit in either direction.
	maxExtrapolationFactor = 2
)

// TokenReport holds the number of tokens that each expert of a layer processed in
// a time window. Reports may be delayed, lost or out of order.
type TokenReport struct {
	Layer int
	// Start and End are the bounds of the window by the clock of the reporter.
	Start, End time.Time
	// Tokens is indexed by expert.
	Tokens []uint32
}

// timeConstants are the exponential decay times of the weights in the fits of
// each expert, the slowest first.
var timeConstants = [...]time.Duration{4 * time.Minute, 100 * time.Second, 40 * time.Second}

// Estimator estimates the popularity of experts from reports. For each expert
// it fits one straight line per time constant to the reported shares by least
// squares, with weights that decay exponentially with the age of a report. The
// slow line has the least noise and is used as long as the faster ones agree
// with it. A trend is extrapolated only if it is significant. Weights depend on
// the time of the window and not of arrival, so that delayed reports and
// reports out of order have the same effect as reports in order.
type Estimator struct {
	layers       []layerEstimator
	experts      int
	lastEstimate time.Time
}

// layerEstimator is the state of the estimate for one layer.
type layerEstimator struct {
	firstReport, newestReport time.Time
	reports                   int
	fits                      [len(timeConstants)]weightedFit
	peak                      []float64
	lowSincePeak              []float64 // least share since the expert counts as fallen, 0 if it does not
	// Times of the last return of any expert to its peak and of the previous
	// one.
	lastReturn, previousReturn time.Time
}

// weightedFit holds the sums of the weighted linear regressions of all experts
// of a layer for one time constant. Times T are in seconds relative to the
// newest report, so none is positive. Values Y are shares, with one sum per
// expert.
type weightedFit struct {
	timeConstant       float64
	sumW, sumWW        float64 // sums of the weights and of their squares
	sumT, sumTT        float64
	sumY, sumTY, sumYY []float64
	// Set by prepare: the effective number of reports, the mean and variance of
	// their times, and the mean over experts of the relative variance around
	// the line.
	effectiveReports, meanT, varT, relativeNoise float64
}

// NewEstimator returns an estimator without reports.
func NewEstimator(layers, experts int) *Estimator {
	e := &Estimator{layers: make([]layerEstimator, layers), experts: experts}
	for i := range e.layers {
		l := &e.layers[i]
		for k, timeConstant := range timeConstants {
			l.fits[k] = newFit(timeConstant, experts)
		}
		l.peak = make([]float64, experts)
		l.lowSincePeak = make([]float64, experts)
	}
	return e
}

func newFit(timeConstant time.Duration, experts int) weightedFit {
	sums := make([]float64, 3*experts)
	return weightedFit{
		timeConstant: timeConstant.Seconds(),
		sumY:         sums[:experts],
		sumTY:        sums[experts : 2*experts],
		sumYY:        sums[2*experts:],
	}
}

// Observe adds a report to the estimate. A report older than maxReportAge is
// ignored. The error wraps ErrInvalidReport.
func (e *Estimator) Observe(r TokenReport) error {
	if r.Layer < 0 || r.Layer >= len(e.layers) || len(r.Tokens) != e.experts {
		return fmt.Errorf("%w: unknown layer %d or wrong number of experts %d", ErrInvalidReport, r.Layer, len(r.Tokens))
	}
	var sum float64
	for _, n := range r.Tokens {
		sum += float64(n)
	}
	if sum == 0 || !r.End.After(r.Start) {
		return fmt.Errorf("%w: no tokens or empty time window", ErrInvalidReport)
	}
	mid := r.Start.Add(r.End.Sub(r.Start) / 2)
	l := &e.layers[r.Layer]
	if l.reports == 0 {
		l.firstReport, l.newestReport = mid, mid
	}
	if l.newestReport.Sub(mid) > maxReportAge {
		return nil
	}
	if mid.After(l.newestReport) {
		seconds := mid.Sub(l.newestReport).Seconds()
		for k := range l.fits {
			l.fits[k].shiftOrigin(seconds)
		}
		l.newestReport = mid
	}
	age := l.newestReport.Sub(mid).Seconds()
	for k := range l.fits {
		l.fits[k].add(-age, r.Tokens, sum)
	}
	l.reports++
	return nil
}

// shiftOrigin moves the time origin forward by a number of seconds and decays
// the weights accordingly.
func (f *weightedFit) shiftOrigin(seconds float64) {
	decay := math.Exp(-seconds / f.timeConstant)
	f.sumTT = decay * (f.sumTT - 2*seconds*f.sumT + seconds*seconds*f.sumW)
	f.sumT = decay * (f.sumT - seconds*f.sumW)
	f.sumW *= decay
	f.sumWW *= decay * decay
	for i := range f.sumY {
		f.sumTY[i] = decay * (f.sumTY[i] - seconds*f.sumY[i])
		f.sumY[i] *= decay
		f.sumYY[i] *= decay
	}
}

// add adds a report at time t, whose tokens sum to sum.
func (f *weightedFit) add(t float64, tokens []uint32, sum float64) {
	w := math.Exp(t / f.timeConstant)
	f.sumW += w
	f.sumWW += w * w
	f.sumT += w * t
	f.sumTT += w * t * t
	for i, n := range tokens {
		y := float64(n) / sum
		f.sumY[i] += w * y
		f.sumTY[i] += w * t * y
		f.sumYY[i] += w * y * y
	}
}

// prepare computes the values that all experts have in common. It must be
// called before regression and predict.
func (f *weightedFit) prepare() {
	f.effectiveReports = f.sumW * f.sumW / f.sumWW
	f.meanT = f.sumT / f.sumW
	f.varT = max(0, f.sumTT/f.sumW-f.meanT*f.meanT)
	f.relativeNoise = 0
	fitted := 0.0
	for e := range f.sumY {
		if l := f.regression(e); l.mean > 0 {
			f.relativeNoise += l.residual / (l.mean * l.mean)
			fitted++
		}
	}
	f.relativeNoise /= max(1, fitted)
}

// regressionLine is the fitted line of one expert; mean is its value at the
// mean time.
type regressionLine struct {
	mean, slope float64
	// residual is the estimated variance of the shares around the line.
	residual float64
}

// regression returns the fitted line of an expert. With too few reports the
// slope is 0.
func (f *weightedFit) regression(expert int) regressionLine {
	line := regressionLine{mean: f.sumY[expert] / f.sumW}
	variance := max(0, f.sumYY[expert]/f.sumW-line.mean*line.mean)
	if f.effectiveReports < minEffectiveReports || f.varT == 0 {
		line.residual = variance
		return line
	}
	cov := f.sumTY[expert]/f.sumW - f.meanT*line.mean
	line.slope = cov / f.varT
	line.residual = max(0, variance-line.slope*cov) * f.effectiveReports / (f.effectiveReports - 2)
	return line
}

// predict returns the estimated share of an expert t seconds after the newest
// report, and its standard error. The residual variance of the expert is
// averaged with the mean of all experts, because few reports are not enough to
// estimate it. With too few reports for a slope, the standard error is the mean
// share itself.
func (f *weightedFit) predict(expert int, t float64) (value, stdErr float64) {
	line := f.regression(expert)
	if f.effectiveReports < minEffectiveReports || f.varT == 0 {
		return line.mean, line.mean
	}
	line.residual = (f.effectiveReports*line.residual + priorReports*f.relativeNoise*line.mean*line.mean) / (f.effectiveReports + priorReports)
	slopeErr := math.Sqrt(line.residual / f.effectiveReports / f.varT)
	line.slope *= significanceWeight(line.slope, slopeSignificance*slopeErr)
	ahead := t - f.meanT
	value = min(max(line.mean+line.slope*ahead, line.mean/maxExtrapolationFactor), line.mean*maxExtrapolationFactor)
	if line.slope == 0 {
		ahead = 0
	}
	return value, math.Sqrt(line.residual/f.effectiveReports + slopeErr*slopeErr*ahead*ahead)
}

// Estimate returns the popularity expected at a time, which should be the
// middle of the interval to plan for. Layers with fewer than minReports reports
// have no shares in the result. The time must not decrease between calls.
func (e *Estimator) Estimate(at time.Time) []LayerPopularity {
	peakDecay := 0.0
	if !e.lastEstimate.IsZero() {
		peakDecay = math.Exp2(-at.Sub(e.lastEstimate).Seconds() / peakHalfLife.Seconds())
	}
	e.lastEstimate = at
	out := make([]LayerPopularity, len(e.layers))
	for i := range e.layers {
		if e.layers[i].reports >= minReports {
			out[i] = e.layers[i].estimate(at, peakDecay)
		}
	}
	return out
}

// estimate returns the popularity of a layer. The recorded peaks keep the
// fraction peakDecay of their excess over the current share. The stable time of
// an expert is the time since the first report, at most maxStableTime, and
// approaches minStableTime the more certain it is that the popularity of the
// expert has shifted.
func (l *layerEstimator) estimate(at time.Time, peakDecay float64) LayerPopularity {
	n := len(l.peak)
	buf := make([]float32, 4*n)
	popularity := LayerPopularity{Share: buf[:n], StdErr: buf[n : 2*n], Peak: buf[2*n : 3*n], StableSeconds: buf[3*n:]}
	ahead := at.Sub(l.newestReport).Seconds()
	for k := range l.fits {
		l.fits[k].prepare()
	}
	knownSeconds := min(at.Sub(l.firstReport).Seconds(), maxStableTime.Seconds())
	sum := 0.0
	for e := range n {
		value, stdErr, shiftConfidence := l.combineFits(e, ahead)
		sum += value
		popularity.Share[e], popularity.StdErr[e] = float32(value), float32(stdErr)
		stableSeconds := shiftConfidence*minStableTime.Seconds() + (1-shiftConfidence)*knownSeconds
		popularity.StableSeconds[e] = float32(max(stableSeconds, minStableTime.Seconds()))
	}
	for e := range n {
		popularity.Share[e] /= float32(sum)
		popularity.StdErr[e] /= float32(sum)
		share := float64(popularity.Share[e])
		l.detectReturn(e, share, at)
		l.peak[e] = max(share, share+(l.peak[e]-share)*peakDecay)
		popularity.Peak[e] = max(popularity.Share[e], float32(l.peak[e]))
	}
	popularity.Alternates = !l.previousReturn.IsZero() && at.Sub(l.previousReturn) < alternationWindow
	return popularity
}

// detectReturn records when a popular expert falls and when it returns to its
// peak, see fallenFraction.
func (l *layerEstimator) detectReturn(expert int, share float64, at time.Time) {
	peak := l.peak[expert]
	if peak*float64(len(l.peak)) < minPeakOverMean {
		return
	}
	low := l.lowSincePeak[expert]
	if share < fallenFraction*peak && (low == 0 || share < low) {
		l.lowSincePeak[expert] = share
	}
	if low == 0 || share < returnedFraction*peak {
		return
	}
	// Peaks decay, so an unchanged share can reach returnedFraction of a peak.
	// Only a rise from the low counts as a return.
	l.lowSincePeak[expert] = 0
	if share > low*returnedFraction/fallenFraction {
		if at.Sub(l.lastReturn) > minReturnInterval {
			l.previousReturn = l.lastReturn
		}
		l.lastReturn = at
	}
}

// combineFits starts from the slowest fit, which has the least noise, and moves
// towards each faster one as far as their difference exceeds the noise of the
// faster one. The result shiftConfidence is 0 if all fits agree and approaches
// 1 the more significantly they differ.
func (l *layerEstimator) combineFits(expert int, ahead float64) (value, stdErr, shiftConfidence float64) {
	value, stdErr = l.fits[0].predict(expert, ahead)
	for k := 1; k < len(l.fits); k++ {
		fast, fastErr := l.fits[k].predict(expert, ahead)
		weight := significanceWeight(fast-value, shiftSignificance*fastErr)
		value += weight * (fast - value)
		stdErr += weight * (fastErr - stdErr)
		shiftConfidence = max(shiftConfidence, weight)
	}
	return max(0, value), stdErr, shiftConfidence
}

// significanceWeight returns the fraction of a deviation to accept: 0 up to the
// limit, and rising continuously towards 1 beyond it, so that estimates do not
// jump when a deviation crosses the limit.
func significanceWeight(deviation, limit float64) float64 {
	if math.Abs(deviation) <= limit {
		return 0
	}
	return 1 - (limit/deviation)*(limit/deviation)
}
