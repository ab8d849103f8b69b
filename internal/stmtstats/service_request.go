package stmtstats

import (
	"time"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/sqltext"
	"flaxrelay/policy"
)

// maxFreeExecutions bounds the executions that are kept for reuse. More requests are
// seldom in flight at once; further executions are left to the garbage collector.
const maxFreeExecutions = 512

// newExecution returns an empty execution, a reused one if possible.
func (s *Service) newExecution() *Execution {
	last := len(s.freeExecutions) - 1
	if last < 0 {
		return &Execution{}
	}
	execution := s.freeExecutions[last]
	s.freeExecutions = s.freeExecutions[:last]
	return execution
}

// Release recycles the execution of a finished request.
func (s *Service) Release(r *lifecycle.Request) {
	execution, ok := r.ObserverData.(*Execution)
	if !ok {
		return
	}
	r.ObserverData = nil
	if len(s.freeExecutions) < maxFreeExecutions {
		*execution = Execution{}
		s.freeExecutions = append(s.freeExecutions, execution)
	}
}

// Parse parses a statement and classifies its effect. readOnly names further functions that
// the operators declare to be read-only.
func (s *Service) Parse(text string, readOnly sqltext.Functions) *Statement {
	analyzer := s.store.analyzer
	analyzer.ClassifyEffect, analyzer.ReadOnlyFunctions = true, readOnly
	defer func() { analyzer.ClassifyEffect = false }()
	return s.store.Parse(text)
}

// EstimateRequest estimates a request whose class is already known, and applies the estimate to the
// request if the settings enable that.
func (s *Service) EstimateRequest(r *lifecycle.Request, statement *Statement, binds *sqltext.Binds) {
	s.estimateRequest(r, s.newExecution(), statement, binds)
}

// EstimateText does the same as EstimateRequest for a text that is not parsed yet, and sets the
// request's dataset.
func (s *Service) EstimateText(r *lifecycle.Request, text string) {
	execution := s.newExecution()
	s.store.parseInto(&execution.own, text)
	r.Dataset, _ = execution.own.Dataset()
	s.estimateRequest(r, execution, &execution.own, nil)
}

func (s *Service) estimateRequest(r *lifecycle.Request, execution *Execution, statement *Statement, binds *sqltext.Binds) {
	class, ok := s.classIndex[r.Class]
	if !ok {
		class = costmodel.NoClass
	}
	hint := Hint{WorkMillis: milliseconds(r.EstimatedWork), MemoryMB: r.EstimatedMemoryMB}
	threads := 1.0
	if !s.settings.EnginesReportWork {
		threads = s.classThreads[r.Class]
	}
	s.store.estimate(execution, statement, binds, class, hint)
	s.apply(r, execution, threads)
}

// apply attaches the execution to the request and, if the settings enable that, replaces the
// client's hints by the estimate.
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

// Classify classifies a read-only statement that no rule or comment gives a class. ok is false where
// nothing is known of it yet.
func (s *Service) Classify(statement *Statement, binds *sqltext.Binds) (class policy.Class, execution *Execution, ok bool) {
	execution = s.newExecution()
	s.store.estimate(execution, statement, binds, costmodel.NoClass, Hint{})
	if execution.Estimate.Class < 0 {
		return policy.Class{}, execution, false
	}
	return s.readOnlyClasses[execution.Estimate.Class], execution, true
}

// ApplyClassified applies the result of Classify to the request. Where engines report no work, the
// estimate is a duration, and the decisions get the work of all threads.
func (s *Service) ApplyClassified(r *lifecycle.Request, execution *Execution) {
	s.apply(r, execution, s.classThreads[r.Class])
}

// ObserveServed learns what a served request has cost. It implements lifecycle.CostObserver.
func (s *Service) ObserveServed(r *lifecycle.Request, report lifecycle.AttemptReport, elapsed time.Duration) {
	s.learn(r, costmodel.Observation{WorkMillis: workOrElapsed(report.Work, elapsed), MemoryMB: report.MemoryMB})
}

// ObserveTimeout learns that a request that exceeded its deadline costs at least what it
// had used by then. It implements lifecycle.CostObserver.
func (s *Service) ObserveTimeout(r *lifecycle.Request, elapsed time.Duration) {
	if s.settings.EnginesReportWork {
		return // on an overloaded engine, a duration hardly depends on the work
	}
	s.learn(r, costmodel.Observation{WorkMillis: milliseconds(elapsed), LowerBound: true})
}

func (s *Service) learn(r *lifecycle.Request, truth costmodel.Observation) {
	if execution, ok := r.ObserverData.(*Execution); ok {
		s.store.Learn(execution, truth)
	}
}

// workOrElapsed returns the reported work, or the elapsed time where none was reported, in
// milliseconds.
func workOrElapsed(work, elapsed time.Duration) float64 {
	if work <= 0 {
		work = elapsed
	}
	return milliseconds(work)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
