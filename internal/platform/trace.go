package platform

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// traced is a Table with a span for each call.
type traced struct {
	table  Table
	tracer trace.Tracer
}

// WithTracing returns the table with a span for each call to it.
func WithTracing(t Table, tracer trace.Tracer) Table { return traced{t, tracer} }

// start begins the span of a call. The result ends it.
func (t traced) start(ctx context.Context, call string, rows int) (context.Context, func(error)) {
	ctx, span := t.tracer.Start(ctx, "platform "+call, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Int("rows", rows)))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// Get implements Table.
func (t traced) Get(ctx context.Context, keys ...string) ([]Row, error) {
	ctx, end := t.start(ctx, "get", len(keys))
	rows, err := t.table.Get(ctx, keys...)
	end(err)
	return rows, err
}

// List implements Table.
func (t traced) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	ctx, end := t.start(ctx, "list", limit)
	rows, err := t.table.List(ctx, prefix, after, limit)
	end(err)
	return rows, err
}

// Commit implements Table.
func (t traced) Commit(ctx context.Context, txn Txn) (uint64, error) {
	ctx, end := t.start(ctx, "commit", len(txn.Writes))
	revision, err := t.table.Commit(ctx, txn)
	end(err)
	return revision, err
}

// VMs implements Table.
func (t traced) VMs(ctx context.Context) ([]VMStatus, error) {
	ctx, end := t.start(ctx, "vms", 0)
	vms, err := t.table.VMs(ctx)
	end(err)
	return vms, err
}
