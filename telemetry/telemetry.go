// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"dewpass.org/internal/logq"
	"dewpass.org/kind"
)

// Kit holds the logger, metrics scope and tracer of an instance. Make one with
// New, or with NewNop in tests.
type Kit struct {
	Log    log.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
	// Metrics serves the metrics over HTTP; nil if there are none.
	Metrics http.Handler
	close   []func(context.Context) error
}

// Options configures a Kit.
type Options struct {
	Instance string
	Hall     string
	// Output receives the log lines.
	Output io.Writer
	// Debug enables debug log lines.
	Debug bool
	// OTLP is the URL of an OTLP receiver over HTTP; "" disables tracing.
	OTLP string
}

// NewNop returns a kit that discards everything.
func NewNop() *Kit {
	return &Kit{
		Log:    log.NewNopLogger(),
		Scope:  tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""),
	}
}

const (
	metricsInterval = time.Second
	timeKey         = "time"
	maxTraceQueue   = 512
)

// New returns a Kit for an instance. Call Close to release it.
func New(ctx context.Context, o Options) (*Kit, error) {
	k := &Kit{}
	k.initMetrics(o)
	dropped := k.Scope.Counter("log_lines_dropped_total")
	queue := logq.New(o.Output, func() { dropped.Inc(1) })
	k.Log = newLogger(o, queue)
	k.close = append(k.close, func(context.Context) error {
		queue.Close()
		return nil
	})
	if err := k.initTracing(ctx, o); err != nil {
		return nil, err
	}
	return k, nil
}

func newLogger(o Options, out io.Writer) log.Logger {
	l := log.NewJSONLogger(out)
	allowed := level.AllowInfo()
	if o.Debug {
		allowed = level.AllowDebug()
	}
	l = level.NewFilter(l, allowed)
	return log.With(l, timeKey, log.DefaultTimestampUTC, "instance", o.Instance, "hall", o.Hall)
}

func (k *Kit) initMetrics(o Options) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "dewpass",
		Tags:            map[string]string{"hall": o.Hall},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	k.Scope = scope
	k.Metrics = reporter.HTTPHandler()
	k.close = append(k.close, func(context.Context) error { return closer.Close() })
}

func (k *Kit) initTracing(ctx context.Context, o Options) error {
	if o.OTLP == "" {
		k.Tracer = noop.NewTracerProvider().Tracer("")
		return nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLP))
	if err != nil {
		return kind.At(kind.BadSettings, "/tracing/otlp", err.Error())
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxTraceQueue)),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "dewpass"),
			attribute.String("service.instance.id", o.Instance),
			attribute.String("dewpass.hall", o.Hall),
		)),
	)
	k.Tracer = provider.Tracer("dewpass.org")
	k.close = append(k.close, provider.Shutdown)
	return nil
}

// Close flushes buffered logs, metrics and traces, and stops their reporters.
func (k *Kit) Close(ctx context.Context) {
	for _, f := range k.close {
		_ = f(ctx)
	}
}

// EndSpan ends a span. If err is not nil, the span is marked as failed.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		e := kind.Of(err)
		span.SetAttributes(attribute.String("dewpass.kind", e.Kind.String()))
		span.SetStatus(codes.Error, e.Error())
	}
	span.End()
}

var propagator propagation.TraceContext

const traceparent = "traceparent"

// Inject returns the W3C trace context of the span in ctx, or "" if there is none.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagator.Inject(ctx, c)
	return c[traceparent]
}

// Extract returns a context with the remote span of a W3C trace context.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceparent: parent})
}

// ExtractHTTP returns a context with the remote span named by the request headers.
func ExtractHTTP(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}
