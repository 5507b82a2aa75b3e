package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

// stream sends one event per token, one event with the finish reason, and the
// [DONE] marker. Events are numbered from 1; a resumed stream continues after the
// last event that the client has received.
func (g *generation) stream() error {
	last := g.lastEventID()
	header := g.echo.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	g.echo.Response().WriteHeader(http.StatusOK)
	g.echo.Response().Flush()
	sent := 0
	for id := last + 1; id <= len(g.tokens)+1; id++ {
		if err := g.waitToken(); err != nil {
			return err
		}
		if err := g.sendEvent(id); err != nil {
			return err
		}
		sent++
		if g.faults.CutAfterEvents > 0 && sent >= g.faults.CutAfterEvents {
			return errCut
		}
	}
	g.finished()
	return g.write("data: [DONE]\n\n")
}

// lastEventID returns the number of the last event that the client has received,
// or 0 for a new stream.
func (g *generation) lastEventID() int {
	id, err := strconv.Atoi(g.echo.Request().Header.Get(endpoint.HeaderLastEventID))
	if err != nil || id <= 0 {
		return 0
	}
	g.engine.resumed.Add(1)
	return id
}

// sendEvent sends the event with the given number.
func (g *generation) sendEvent(id int) error {
	choice := Choice{}
	answer := g.envelope(g.kind.event, choice)
	if id > len(g.tokens) {
		choice.FinishReason = &finishStop
		answer.Usage = g.usage()
	}
	g.addToken(&choice, id)
	answer.Choices[0] = choice
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return g.write(fmt.Sprintf("id: %d\ndata: %s\n\n", id, data))
}

func (g *generation) addToken(choice *Choice, id int) {
	token := ""
	if id <= len(g.tokens) {
		token = g.tokens[id-1]
	}
	if !g.kind.isChat {
		choice.Text = token
		return
	}
	choice.Delta = &Delta{Content: token}
	if id == 1 {
		choice.Delta.Role = "assistant"
	}
}

func (g *generation) write(text string) error {
	if _, err := g.echo.Response().Write([]byte(text)); err != nil {
		return err
	}
	g.echo.Response().Flush()
	return nil
}
