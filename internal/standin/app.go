package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// NewApp returns the command line application dogwoodpond-standin, which writes
// its results to out. Each server prints "listening ADDRESS" when it accepts
// connections.
func NewApp(ctx context.Context, out io.Writer) *kingpin.Application {
	app := kingpin.New("dogwoodpond-standin", "Stand-ins for tests and the quick start.")
	address := app.Flag("listen", "The address to listen on.").Default("127.0.0.1:0").String()
	platformCommand(ctx, app, out, address)
	engineCommand(ctx, app, out, address)
	serviceCommand(ctx, app, out, address)
	trainerCommand(ctx, app, out)
	loadCommand(ctx, app, out)
	postCommand(ctx, app, out)
	return app
}

// serve runs an HTTP server on address until ctx ends.
func serve(ctx context.Context, out io.Writer, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(&fault.BadRequest{Field: "listen", Problem: address})
	}
	_, _ = fmt.Fprintln(out, "listening", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(&fault.Internal{Where: "serve"})
	}
	return nil
}

func platformCommand(ctx context.Context, app *kingpin.Application, out io.Writer, address *string) {
	app.Command("platform", "The platform: tables, lists, orders, billing, weights.").Action(func(*kingpin.ParseContext) error {
		p := NewPlatform()
		go p.Probe(ctx)
		return serve(ctx, out, *address, p.Handler())
	})
}

func engineCommand(ctx context.Context, app *kingpin.Application, out io.Writer, address *string) {
	command := app.Command("engine", "A model engine.")
	config := EngineConfig{}
	command.Flag("model", "The model that it serves.").Default("berry-1").StringVar(&config.Model)
	command.Flag("adapter", "The adapter that it serves.").StringVar(&config.Adapter)
	command.Flag("slots", "The number of requests that run concurrently.").Default("8").IntVar(&config.Slots)
	command.Flag("token-time", "The time per token of a request that runs alone.").Default("1ms").DurationVar(&config.TokenTime)
	command.Flag("prefill-time", "The time per prompt word that is not in the prefix cache.").Default("200us").DurationVar(&config.PrefillTime)
	command.Flag("cached-prefixes", "The number of prompts in the prefix cache.").Default("64").IntVar(&config.CachedPrefixes)
	command.Flag("load-lag", "The greatest age of a load report.").Default("500ms").DurationVar(&config.LoadReportLag)
	command.Flag("swap-time", "The duration of a weight load.").Default("50ms").DurationVar(&config.WeightLoadTime)
	command.Flag("checks-fencing", "Refuse orders with an outdated epoch.").BoolVar(&config.ChecksFencing)
	command.Flag("weight-version", "The weight version at the start.").Default("1").Int64Var(&config.Version)
	command.Action(func(*kingpin.ParseContext) error {
		return serve(ctx, out, *address, NewEngine(config).Handler())
	})
}

func serviceCommand(ctx context.Context, app *kingpin.Application, out io.Writer, address *string) {
	app.Command("service", "A plain service.").Action(func(*kingpin.ParseContext) error {
		return serve(ctx, out, *address, NewService().Handler())
	})
}

func trainerCommand(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("trainer", "A trainer that pulls the samples of one step and prints a summary.")
	config := TrainerConfig{}
	command.Flag("entry", "An address that serves callers; repeatable.").Required().StringsVar(&config.Entries)
	command.Flag("key", "The caller's key.").Envar("DOGWOODPOND_KEY").Required().StringVar(&config.Key)
	command.Flag("step", "The step's name.").Default("step-1").StringVar(&config.Step)
	command.Flag("model", "The model.").Default("berry-1").StringVar(&config.Model)
	command.Flag("groups", "The number of groups in the step.").Default("8").IntVar(&config.Groups)
	command.Flag("samples", "The number of samples in a group.").Default("8").IntVar(&config.Samples)
	command.Flag("max-tokens", "The maximum number of tokens of a sample.").Default("64").IntVar(&config.MaxTokens)
	command.Flag("scorer", "The scoring service.").StringVar(&config.Scorer)
	command.Flag("timeout", "The timeout of the step.").Default("2m").DurationVar(&config.Timeout)
	command.Action(func(*kingpin.ParseContext) error {
		result, err := NewTrainer(config).Run(ctx)
		_ = json.NewEncoder(out).Encode(result)
		return err
	})
}

func loadCommand(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("load", "Send the requests of several accounts as a plan defines them and print the results.")
	config := LoadConfig{}
	plan := command.Flag("plan", "The path of a JSON file with the plan.").Required().String()
	command.Flag("entry", "An address that serves callers; repeatable.").Required().StringsVar(&config.Entries)
	command.Flag("engine", "The address of a stand-in engine to poll; repeatable.").StringsVar(&config.Engines)
	command.Flag("model", "The model.").Default("berry-1").StringVar(&config.Model)
	command.Flag("drain", "How long to wait for answers after the sending of requests ends.").Default("1s").DurationVar(&config.Drain)
	table := command.Flag("table", "Print a table instead of JSON.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		var err error
		if config.Plan, err = readLoadPlan(*plan); err != nil {
			return err
		}
		result, err := NewLoadGenerator(config).Run(ctx)
		if err != nil {
			return err
		}
		if *table {
			result.WriteTable(out)
			return nil
		}
		return json.NewEncoder(out).Encode(result)
	})
}

// postCommand adds a command that sends one HTTP request, so that scripts need
// no other HTTP client.
func postCommand(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("post", "Send one request and print the answer.")
	method := command.Flag("method", "The HTTP method.").Default(http.MethodPost).String()
	headers := command.Flag("header", "A header in the form \"name: value\"; repeatable.").Strings()
	target := command.Arg("url", "The URL.").Required().String()
	body := command.Arg("body", "The body.").String()
	command.Action(func(*kingpin.ParseContext) error {
		return post(ctx, out, *method, *target, *body, *headers)
	})
}

func post(ctx context.Context, out io.Writer, method, target, body string, headers []string) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return errors.WithStack(&fault.BadRequest{Field: "url", Problem: target})
	}
	request.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		request.Header.Set(name, strings.TrimSpace(value))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(&fault.UpstreamFailed{Upstream: target, Reason: "no answer"})
	}
	defer response.Body.Close()
	if _, err := io.Copy(out, response.Body); err != nil {
		return errors.WithStack(&fault.AnswerTruncated{Upstream: target})
	}
	if response.StatusCode >= http.StatusBadRequest {
		_, _ = fmt.Fprintln(os.Stderr, response.Status)
		return errors.WithStack(&fault.PlatformRefused{Operation: target, Status: response.StatusCode})
	}
	return nil
}
