package gateway

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func newModelObject(name string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: "pimentoshore"}
}

func (s *Server) listModels(c echo.Context) error {
	if _, p := s.authenticate(c.Request()); p != nil {
		return writeProblem(c, p)
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, name := range s.backend.Models() {
		list.Data = append(list.Data, newModelObject(name))
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) getModel(c echo.Context) error {
	if _, p := s.authenticate(c.Request()); p != nil {
		return writeProblem(c, p)
	}
	name := c.Param("model")
	if p := s.checkModel(name); p != nil {
		return writeProblem(c, p)
	}
	return c.JSON(http.StatusOK, newModelObject(name))
}

func (s *Server) checkModel(name string) *problem.Error {
	if slices.Contains(s.backend.Models(), name) {
		return nil
	}
	return problem.New(problem.UnknownModel,
		fmt.Sprintf("model %q does not exist", name), "use a model that GET /v1/models lists")
}
