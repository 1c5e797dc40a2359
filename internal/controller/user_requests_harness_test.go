package controller

import (
	"net/http"

	"bramblespur/internal/controller/transport"
	"bramblespur/internal/httpwire"
	"bramblespur/internal/wire"
)

// The methods below serve a user's request as this controller does without forwarding it to
// another.

func (c *Controller) submit(body []byte) transport.Response {
	return c.serveLocally(http.MethodPost, wire.JobsPath, body)
}

func (c *Controller) statusQuery(ref string) transport.Response {
	return c.serveLocally(http.MethodGet, wire.JobsPath+"/"+ref, nil)
}

func (c *Controller) cancel(ref string) transport.Response {
	return c.serveLocally(http.MethodPost, wire.JobsPath+"/"+ref+"/"+wire.CancelAction, nil)
}

func (c *Controller) submitPipeline(body []byte) transport.Response {
	return c.serveLocally(http.MethodPost, wire.PipelinesPath, body)
}

func (c *Controller) pipelineStatusQuery(ref string) transport.Response {
	return c.serveLocally(http.MethodGet, wire.PipelinesPath+"/"+ref, nil)
}

func (c *Controller) cancelPipeline(ref string) transport.Response {
	return c.serveLocally(http.MethodPost, wire.PipelinesPath+"/"+ref+"/"+wire.CancelAction, nil)
}

func (c *Controller) serveLocally(method, path string, body []byte) transport.Response {
	return c.userAPI.ServeLocally(httpwire.Request{Method: method, Path: path, Body: body})
}
