package cost

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// serviceWindow and routeWindow are the numbers of responses over which services and routes are averaged.
	serviceWindow = 200
	routeWindow   = 100
	// initialUnitMs and initialReadMs are the times of an event and for a prompt token before the first response.
	initialUnitMs = 35.0
	initialReadMs = 0.1
	// initialUnits is the number of events of a response, and initialUnitsPerToken those for each token of the hint, before the
	// first response.
	initialUnits         = 20.0
	initialUnitsPerToken = 1.0 / 15
	// minTimedUnits is the number of events of a response by which its runner is timed; the first ones may come together.
	minTimedUnits = 4
	// minExcess is the excess of a machine from which a response shows whether its figure can be trusted.
	minExcess = 0.2
	// maxPace bounds the pace of one response, which may have waited for its reader.
	maxPace = 5.0
)

// Estimates holds what responses have shown of services and routes. The rows of runners are kept with their other state.
type Estimates struct {
	Services *fleet.Table[cs.ServiceID, Service]
	routes   *fleet.Table[cs.RouteName, route]
}

// New returns estimates without responses.
func New() *Estimates {
	return &Estimates{Services: fleet.NewTable[cs.ServiceID, Service](), routes: fleet.NewTable[cs.RouteName, route]()}
}

// Service is what responses have shown of a service. There is a row for each service of which a runner has stated how long work
// takes on its machine.
type Service struct {
	// unitMs is the time of a unit in milliseconds, and readMs that for each token of a prompt.
	unitMs, readMs Average
	// units is the number of units of a response.
	units Average
	// tokens is the number of tokens that a request may hold at a runner.
	tokens Average
	// figureTrust is the part of the excess that a figure states which responses have shown, from 0 to 1.
	figureTrust Average
	// Error is the mean error of the estimated times of responses, as a share of their real times.
	Error Average
	// WrongSince is since when Error has been above the bound, or 0, and Told means that this was logged.
	WrongSince cs.Instant
	Told       bool
	// RecordedAt is when Error was last recorded as a metric.
	RecordedAt cs.Instant
}

// route is what responses have shown of a route.
type route struct {
	units, unitsError     Average
	perToken, perTokenErr Average
	// callMs is the time of a response that is no stream, in milliseconds.
	callMs Average
}

// Activate adds a service whose runners state how long work takes on their machines.
func (e *Estimates) Activate(id cs.ServiceID) {
	if e.Services.Get(id) == nil {
		e.Services.Insert(id, Service{})
	}
}

// Service returns the row of a service, or nil for one whose requests are placed by their number.
func (e *Estimates) Service(id cs.ServiceID) *Service {
	if e == nil || e.Services.Len() == 0 {
		return nil
	}
	return e.Services.Get(id)
}

// Units returns the expected number of events of a stream of a route: by its hint and by other streams of the route, each weighted by
// its errors.
func (e *Estimates) Units(name cs.RouteName, size cs.RequestSize) float64 {
	r := e.routes.Get(name)
	if r == nil {
		r = &route{}
	}
	mean := r.units.Or(initialUnits)
	if size.Hint <= 0 {
		return mean
	}
	hinted := float64(size.Hint) * r.perToken.Or(initialUnitsPerToken)
	meanError, hintError := r.unitsError.Or(1), r.perTokenErr.Or(1)
	if meanError+hintError == 0 {
		return hinted
	}
	return (hinted*meanError + mean*hintError) / (meanError + hintError)
}

// Response is a complete response, by which estimates are corrected.
type Response struct {
	Route   cs.RouteName
	Service cs.ServiceID
	Size    cs.RequestSize
	// Read is the number of prompt tokens that were expected to be read.
	Read cs.Tokens
	// Stream means that the response is a stream of events, and Resumed that its first events came in an earlier attempt. Units is the
	// number of events of this attempt, or 1.
	Stream, Resumed bool
	Units           float64
	// First is the time from sending to the first event, and Total that to the end.
	First, Total cs.Span
	// Expected is the time to the end that was expected without the figure, and Excess the excess that its last figure stated.
	Expected cs.Span
	Excess   float64
	// Prompt means that a slot was free, so that First is the time to read the prompt.
	Prompt bool
}

// Observe corrects the estimates by a response of a runner.
func (e *Estimates) Observe(r *Runner, o Response) {
	s := e.Service(o.Service)
	if s == nil || o.Units <= 0 || o.Total <= 0 {
		return
	}
	s.tokens.Add(float64(o.Size.Tokens()), serviceWindow)
	row := e.routes.Get(o.Route)
	if row == nil {
		row = e.routes.Insert(o.Route, route{})
	}
	if o.Stream {
		s.observeStream(r, o)
		if !o.Resumed {
			row.observeStream(o)
		}
	} else {
		row.callMs.Add(bounded(float64(o.Total), row.callMs), routeWindow)
		r.observe(min(float64(o.Total)/row.callMs.Value, maxPace))
	}
	s.observeError(o)
}

// observeStream corrects the estimates by a stream.
func (s *Service) observeStream(r *Runner, o Response) {
	s.units.Add(o.Units, serviceWindow)
	if unitMs := unitTime(o); unitMs > 0 {
		s.unitMs.Add(bounded(unitMs, s.unitMs), serviceWindow)
		r.observe(min(unitMs/s.unitMs.Value, maxPace))
		if o.Prompt && o.Read > 0 {
			s.readMs.Add(max(float64(o.First)-unitMs, 0)/float64(o.Read), serviceWindow)
		}
	}
}

// observeError records how far the expected time of a response was from the real one, and how much of the excess of its machine it has
// shown.
func (s *Service) observeError(o Response) {
	if o.Expected <= 0 {
		return
	}
	s.Error.Add(math.Abs(float64(o.Total-o.Expected))/float64(o.Total), serviceWindow)
	if o.Excess >= minExcess {
		shown := (float64(o.Total)/float64(o.Expected) - 1) / (o.Excess * meanExcess(float64(o.Total)))
		s.figureTrust.Add(min(max(shown, 0), 1), routeWindow)
	}
}

// bounded bounds a time by which a mean is corrected, like the pace of a runner: a stream takes minutes if its caller reads slowly.
func bounded(ms float64, mean Average) float64 { return min(ms, maxPace*mean.Or(ms)) }

// minRunUnits is the number of events of a run of an item by which its runner is timed: the time includes that of the prompt.
const minRunUnits = 30

// ObserveRun corrects the estimates by a run of an item with a number of tokens, which need not be complete.
func (e *Estimates) ObserveRun(r *Runner, id cs.ServiceID, tokens cs.Tokens, units float64, total cs.Span) {
	s := e.Service(id)
	if s == nil || units < minRunUnits || total <= 0 {
		return
	}
	s.tokens.Add(float64(tokens), serviceWindow)
	unitMs := float64(total) / units
	s.unitMs.Add(bounded(unitMs, s.unitMs), serviceWindow)
	r.observe(min(unitMs/s.unitMs.Value, maxPace))
}

// Held returns the number of tokens that other requests at a runner hold on average.
func (s *Service) Held() float64 { return s.tokens.Value }

// unitTime returns the time of an event of a stream in milliseconds, or 0 if the stream is too short to tell.
func unitTime(o Response) float64 {
	if o.Units < minTimedUnits {
		return 0
	}
	return float64(o.Total-o.First) / (o.Units - 1)
}

// observeStream corrects the estimates by a whole stream.
func (r *route) observeStream(o Response) {
	r.unitsError.Add(math.Abs(o.Units-r.units.Or(o.Units)), routeWindow)
	r.units.Add(o.Units, routeWindow)
	if o.Size.Hint > 0 {
		perToken := o.Units / float64(o.Size.Hint)
		r.perTokenErr.Add(math.Abs(o.Units-float64(o.Size.Hint)*r.perToken.Or(perToken)), routeWindow)
		// The mean of the ratios would be too high where hints are far too low.
		r.perToken.Add(o.Units/max(float64(o.Size.Hint), o.Units/(2*r.perToken.Or(perToken))), routeWindow)
	}
}

// meanExcess returns the mean over a time in milliseconds of an excess that is 1 at its begin.
func meanExcess(ms float64) float64 {
	if ms <= 0 {
		return 1
	}
	return figureHalfLifeMs / (math.Ln2 * ms) * (1 - math.Exp2(-ms/figureHalfLifeMs))
}

// UnitMs returns the expected time of a unit at the mean of the service, in milliseconds.
func (s *Service) UnitMs() float64 { return s.unitMs.Or(initialUnitMs) }

// ReadMs returns the expected time to read a number of prompt tokens, in milliseconds.
func (s *Service) ReadMs(n cs.Tokens) float64 { return float64(n) * s.readMs.Or(initialReadMs) }

// MeanMs returns the expected time of a response at the mean of the service, in milliseconds.
func (s *Service) MeanMs() float64 { return s.units.Or(initialUnits) * s.UnitMs() }

// Slowness returns the time that work takes now at a runner as a multiple of the mean of the service.
func (s *Service) Slowness(r *Runner, now cs.Instant) float64 {
	return r.Pace() * (1 + s.figureTrust.Or(1)*r.excess(now))
}

// StreamMs returns the expected time of a stream at a runner in milliseconds without waiting, and without the figure of its machine.
func (s *Service) StreamMs(r *Runner, units float64, read cs.Tokens) float64 {
	return (s.ReadMs(read) + units*s.UnitMs()) * r.Pace()
}

// CallMs returns the expected time of a response that is no stream, or 0 before the first one.
func (e *Estimates) CallMs(r *Runner, name cs.RouteName) float64 {
	if row := e.routes.Get(name); row != nil {
		return row.callMs.Value * r.Pace()
	}
	return 0
}

// Excess returns the excess that the last figure of a runner states now.
func (r *Runner) Excess(now cs.Instant) float64 { return r.excess(now) }
