package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

// apiKind describes one of the two OpenAI APIs, chat completions and completions.
type apiKind struct {
	whole  string // "object" value of a whole answer
	event  string // "object" value of an event
	isChat bool
}

var (
	chatKind       = apiKind{whole: "chat.completion", event: "chat.completion.chunk", isChat: true}
	completionKind = apiKind{whole: "text_completion", event: "text_completion"}
)

// generation is a running request.
type generation struct {
	engine  *Engine
	echo    echo.Context
	ctx     context.Context
	kind    apiKind
	request Request
	faults  Faults
	tokens  []string
	id      string
	// finished releases the request's slot in the meter. It's called before
	// the client can see the end of its answer.
	finished func()
}

func (e *Engine) chat(c echo.Context) error       { return e.generate(c, chatKind) }
func (e *Engine) completion(c echo.Context) error { return e.generate(c, completionKind) }

// generate checks a request and runs it, or refuses it.
func (e *Engine) generate(c echo.Context, k apiKind) error {
	report := e.member.report()
	c.Response().Header().Set(endpoint.HeaderIncarnation, report.Incarnation)
	c.Response().Header().Set(endpoint.HeaderAttempt, c.Request().Header.Get(endpoint.HeaderAttempt))
	var request Request
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return writeError(c, http.StatusBadRequest, "the request body is not valid JSON")
	}
	if !e.isForThisGroup(c.Request().Header, report) {
		e.misdirected.Add(1)
		return writeError(c, http.StatusConflict, "the engine is in another group or generation")
	}
	faults := e.switches.takeForRequest()
	if faults.Refuse || e.switches.isCollapsed() {
		return writeError(c, http.StatusServiceUnavailable, "the engine does not accept requests")
	}
	return e.run(c, k, request, faults)
}

// isForThisGroup reports whether a request is for the engine's current group and
// generation, and the engine is ready to serve it at rank 0. A request that names
// no group is accepted if the engine is Standalone.
func (e *Engine) isForThisGroup(header http.Header, report member.Report) bool {
	group := header.Get(endpoint.HeaderGroup)
	if group == "" {
		return e.opts.Standalone
	}
	generation := strconv.FormatUint(report.Generation, 10)
	return report.State == member.Ready && report.Rank == 0 &&
		group == report.Group && header.Get(endpoint.HeaderGeneration) == generation
}

// run counts a request against the concurrency limit and generates its answer.
// Exceeding the limit stalls the engine's requests for CollapseTime.
func (e *Engine) run(c echo.Context, k apiKind, request Request, faults Faults) error {
	admitted := e.meter.Begin()
	var once sync.Once
	end := func(completed bool) { once.Do(func() { e.meter.End(completed) }) }
	defer end(false)
	if !admitted {
		e.switches.collapse(e.opts.CollapseTime)
		return writeError(c, http.StatusServiceUnavailable, "the engine is overloaded")
	}
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	defer context.AfterFunc(e.member.requestContext(), cancel)()
	g := &generation{
		engine: e, echo: c, ctx: ctx, kind: k, request: request, faults: faults,
		tokens: request.tokens(), id: uuid.NewString(),
		finished: func() { end(true) },
	}
	g.applyCrossed()
	if err := g.answer(); err != nil {
		if c.Request().Context().Err() != nil {
			e.cancelled.Add(1)
		}
		panic(http.ErrAbortHandler)
	}
	return nil
}

// applyCrossed replaces the text and attempt ID with those of an earlier request
// if the Crossed switch is set. Otherwise it saves this request for later ones.
func (g *generation) applyCrossed() {
	previous := &g.engine.previous
	previous.Lock()
	defer previous.Unlock()
	if g.faults.Crossed {
		if previous.attempt == "" {
			previous.attempt = uuid.NewString()
			previous.request = Request{Prompt: "another request"}
		}
		g.tokens = previous.request.tokens()
		g.echo.Response().Header().Set(endpoint.HeaderAttempt, previous.attempt)
		return
	}
	previous.attempt = g.echo.Request().Header.Get(endpoint.HeaderAttempt)
	previous.request = g.request
}

func (g *generation) answer() error {
	if g.faults.Hang {
		<-g.ctx.Done()
		return g.ctx.Err()
	}
	if err := sleep(g.ctx, time.Duration(g.faults.AnswerLateMS)*time.Millisecond); err != nil {
		return err
	}
	if g.request.Stream {
		return g.stream()
	}
	for range g.tokens {
		if err := g.waitToken(); err != nil {
			return err
		}
	}
	if g.faults.CutAfterEvents > 0 {
		return errCut
	}
	g.finished()
	return g.echo.JSON(http.StatusOK, g.wholeAnswer())
}

// errCut makes the handler close the connection, as CutAfterEvents demands.
var errCut = errors.New("engine: connection cut by a fault switch")

// waitToken waits for the time that one token takes to generate.
func (g *generation) waitToken() error {
	if err := g.engine.switches.waitRequest(g.ctx); err != nil {
		return err
	}
	slow := time.Duration(g.faults.SlowTokenMS) * time.Millisecond
	return sleep(g.ctx, g.engine.opts.TokenTime+slow)
}

func (g *generation) wholeAnswer() Answer {
	text := ""
	for _, token := range g.tokens {
		text += token
	}
	choice := Choice{FinishReason: &finishStop}
	if g.kind.isChat {
		choice.Message = &Message{Role: "assistant", Content: Text(text)}
	} else {
		choice.Text = text
	}
	answer := g.envelope(g.kind.whole, choice)
	answer.Usage = g.usage()
	return answer
}

var finishStop = "stop"

func (g *generation) envelope(object string, choice Choice) Answer {
	return Answer{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.request.Model, Choices: []Choice{choice}}
}

func (g *generation) usage() *Usage {
	prompt := len(g.request.prompt())
	return &Usage{PromptTokens: prompt, CompletionTokens: len(g.tokens), TotalTokens: prompt + len(g.tokens)}
}

func writeError(c echo.Context, status int, message string) error {
	return c.JSON(status, apiError{Error: apiErrorBody{Message: message, Type: http.StatusText(status)}})
}
