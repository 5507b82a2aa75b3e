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

// kind is one of the two OpenAI interfaces.
type kind struct {
	whole  string // object of a whole answer
	event  string // object of an event
	isChat bool
}

var (
	chatKind       = kind{whole: "chat.completion", event: "chat.completion.chunk", isChat: true}
	completionKind = kind{whole: "text_completion", event: "text_completion"}
)

// generation is one running request.
type generation struct {
	engine  *Engine
	echo    echo.Context
	ctx     context.Context
	kind    kind
	request Request
	faults  Faults
	tokens  []string
	id      string
	// finished ends the request's use of the engine. It's called before the
	// client can see the end of its answer.
	finished func()
}

func (e *Engine) chat(c echo.Context) error       { return e.generate(c, chatKind) }
func (e *Engine) completion(c echo.Context) error { return e.generate(c, completionKind) }

// generate admits a request and runs it.
func (e *Engine) generate(c echo.Context, k kind) error {
	report := e.member.report()
	c.Response().Header().Set(endpoint.HeaderIncarnation, report.Incarnation)
	c.Response().Header().Set(endpoint.HeaderAttempt, c.Request().Header.Get(endpoint.HeaderAttempt))
	var request Request
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return refuse(c, http.StatusBadRequest, "the body is not a request in JSON")
	}
	if !e.directedHere(c.Request().Header, report) {
		e.misdirected.Add(1)
		return refuse(c, http.StatusConflict, "the engine is in another group or generation")
	}
	faults := e.switches.take()
	if faults.Refuse || e.switches.collapsed() {
		return refuse(c, http.StatusServiceUnavailable, "the engine takes no requests")
	}
	return e.run(c, k, request, faults)
}

// directedHere reports whether a request is for the engine's present group.
func (e *Engine) directedHere(header http.Header, report member.Report) bool {
	group := header.Get(endpoint.HeaderGroup)
	if group == "" {
		return e.opts.Standalone
	}
	generation := strconv.FormatUint(report.Generation, 10)
	return report.State == member.Ready && report.Rank == 0 &&
		group == report.Group && header.Get(endpoint.HeaderGeneration) == generation
}

// run counts a request against what the engine bears and generates.
func (e *Engine) run(c echo.Context, k kind, request Request, faults Faults) error {
	bearable := e.meter.Begin()
	var once sync.Once
	end := func(completed bool) { once.Do(func() { e.meter.End(completed) }) }
	defer end(false)
	if !bearable {
		e.switches.collapse(e.opts.CollapseTime)
		return refuse(c, http.StatusServiceUnavailable, "the engine is overloaded")
	}
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	defer context.AfterFunc(e.member.running(), cancel)()
	g := &generation{
		engine: e, echo: c, ctx: ctx, kind: k, request: request, faults: faults,
		tokens: request.tokens(), id: uuid.NewString(),
		finished: func() { end(true) },
	}
	g.cross()
	if err := g.answer(); err != nil {
		if c.Request().Context().Err() != nil {
			e.cancelled.Add(1)
		}
		panic(http.ErrAbortHandler)
	}
	return nil
}

// cross replaces the text and attempt by those of an earlier request if the
// switch is set, and remembers this request for later ones.
func (g *generation) cross() {
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
		if err := g.step(); err != nil {
			return err
		}
	}
	if g.faults.CutAfterEvents > 0 {
		return errCut
	}
	g.finished()
	return g.echo.JSON(http.StatusOK, g.wholeAnswer())
}

// errCut ends a request whose connection a fault switch closes.
var errCut = errors.New("engine: cut by a fault switch")

// step takes the time of one token.
func (g *generation) step() error {
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

func refuse(c echo.Context, status int, message string) error {
	return c.JSON(status, apiError{Error: apiErrorBody{Message: message, Type: http.StatusText(status)}})
}
