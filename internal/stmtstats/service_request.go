package stmtstats

import (
	"time"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/sqltext"
	"flaxrelay/policy"
)

// Parse parses a statement and classifies its effect. readOnly contains additional functions that
// the operators declare to be read-only.
func (s *Service) Parse(text string, readOnly sqltext.Functions) *Statement {
	statement := &Statement{}
	statement.set(text, s.store.analyzer.AnalyzeAndClassify(text, readOnly))
	return statement
}

// EstimateRequest estimates a request whose class is already known, and applies the estimate to the
// request if the settings enable that.
func (s *Service) EstimateRequest(r *lifecycle.Request, statement *Statement, binds *sqltext.Binds) {
	s.estimateRequest(r, s.executions.get(), statement, binds)
}

// EstimateText parses a text, sets the request's data set and then estimates the request as EstimateRequest does.
func (s *Service) EstimateText(r *lifecycle.Request, text string) {
	execution := s.executions.get()
	execution.parsed.set(text, s.store.analyzer.Analyze(text))
	r.Dataset, _ = execution.parsed.Dataset()
	s.estimateRequest(r, execution, &execution.parsed, nil)
}

func (s *Service) estimateRequest(
	r *lifecycle.Request, execution *Execution, statement *Statement, binds *sqltext.Binds,
) {
	hint := Hint{WorkMillis: milliseconds(r.EstimatedWork), MemoryMB: r.EstimatedMemoryMB}
	threads := 1.0
	if !s.settings.EnginesReportWork {
		threads = s.classes.threads[r.Class]
	}
	s.store.estimate(execution, statement, binds, s.classes.index(r.Class), hint)
	s.apply(r, execution, threads)
}

// apply attaches the execution to the request and, if the settings enable that, replaces the client's estimates by
// the store's estimates. If engines report no work, the store learns durations. Decisions need the work of all
// threads, so threads is then the number of threads that the request uses. Otherwise threads is 1.
func (s *Service) apply(r *lifecycle.Request, execution *Execution, threads float64) {
	r.ObserverData = execution
	if !s.settings.ApplyEstimates || !execution.Estimate.Known {
		return
	}
	s.corrected++
	r.EstimatedWork = time.Duration(execution.Estimate.WorkMillis * threads * float64(time.Millisecond))
	if execution.Estimate.MemoryMB > 0 {
		r.EstimatedMemoryMB = execution.Estimate.MemoryMB
	}
}

// EstimateClass estimates an execution of a read-only statement whose class is not set by a rule or a comment, and
// returns the class that follows from the estimate. ok is false if there is no estimate yet.
func (s *Service) EstimateClass(
	statement *Statement, binds *sqltext.Binds,
) (class policy.Class, execution *Execution, ok bool) {
	execution = s.executions.get()
	s.store.estimate(execution, statement, binds, costmodel.NoClass, Hint{})
	if execution.Estimate.Class == costmodel.NoClass {
		return policy.Class{}, execution, false
	}
	return s.classes.readOnly[execution.Estimate.Class], execution, true
}

// ApplyEstimate applies the estimate of an execution that EstimateClass returned to the request, if the settings
// enable that. It must not be used for engines that report the work of requests.
func (s *Service) ApplyEstimate(r *lifecycle.Request, execution *Execution) {
	s.apply(r, execution, s.classes.threads[r.Class])
}

// ObserveServed learns the cost of a served request. It implements lifecycle.CostObserver.
func (s *Service) ObserveServed(r *lifecycle.Request, report lifecycle.AttemptReport, elapsed time.Duration) {
	s.learn(r, costmodel.Observation{WorkMillis: workOrElapsed(report.Work, elapsed), MemoryMB: report.MemoryMB})
}

// ObserveTimeout learns the elapsed time of a request that exceeded its deadline, as a lower bound of its
// cost. It implements lifecycle.CostObserver.
func (s *Service) ObserveTimeout(r *lifecycle.Request, elapsed time.Duration) {
	if s.settings.EnginesReportWork {
		return // on an overloaded engine, the duration of a request hardly depends on its work
	}
	s.learn(r, costmodel.Observation{WorkMillis: milliseconds(elapsed), LowerBound: true})
}

// Release returns the execution of a finished request to the pool. It implements lifecycle.CostObserver.
func (s *Service) Release(r *lifecycle.Request) {
	execution, ok := r.ObserverData.(*Execution)
	if !ok {
		return
	}
	r.ObserverData = nil
	s.executions.put(execution)
}

func (s *Service) learn(r *lifecycle.Request, observed costmodel.Observation) {
	if execution, ok := r.ObserverData.(*Execution); ok {
		s.store.Learn(execution, observed)
	}
}

// workOrElapsed returns the reported work, or the elapsed time if no work was reported, in
// milliseconds.
func workOrElapsed(work, elapsed time.Duration) float64 {
	if work <= 0 {
		work = elapsed
	}
	return milliseconds(work)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
