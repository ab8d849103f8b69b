// Package stmtstats maintains statistics of statement shapes, and uses them to estimate the cost of
// executions. The statistics are used only for estimates and for the choice of a class. Whether a
// statement may write is decided by internal/sqltext, and the statistics never override that decision.
//
// # Use
//
// A front end has one Service, which is used only in the goroutine of the event loop. The server of a
// client protocol passes each request to EstimateText or EstimateRequest, or first gets the class from
// EstimateClass and then calls ApplyEstimate. The lifecycle.Dispatcher reports the cost to the Service,
// which is its CostObserver.
//
// Tools and experiments use a Store without a Service:
//
//	statement := store.Parse(text)
//	execution := store.Estimate(statement, binds, costmodel.NoClass, hint)
//	store.Learn(execution, observed)
//
// # Files
//
//   - store.go, statement.go and execution.go: the Store. It parses with internal/sqltext, estimates with
//     internal/decision/costmodel and caches the records of recurring shapes.
//   - cache.go: the Cache, whose size is limited in bytes. The other cache files implement it.
//   - snapshot.go: the Snapshot of a Store. snapshot_format.go encodes it, and snapshot_file.go reads and
//     replaces its file.
//   - service.go: the Service. service_request.go has its methods for requests, service_restore.go
//     restores its store from a snapshot, and snapshot_writer.go writes snapshots at intervals and on request.
//     class_table.go looks up classes, and execution_pool.go reuses executions.
package stmtstats
