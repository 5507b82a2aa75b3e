// Package ingress bounds what callers' connections may hold of a process. It limits
// their number, and ends those that are idle for too long, that send a header too
// slowly or one that is too large, and those whose caller doesn't read its response.
// A connection that holds memory for a request body without progress can be closed to
// make room for others.
//
// Connections wraps the listener of an http.Server and sets its hooks:
//
//	conns := ingress.New(ingress.Options{...})
//	conns.Configure(server)
//	go conns.Run(ctx)
//	server.Serve(conns.Listen(listener))
//
// A handler tells the connection what it does with its request:
//
//	conn := ingress.FromContext(r.Context())
//	if !conn.BeginRequest(r.ProtoMajor) {
//		panic(http.ErrAbortHandler) // the connection is being closed
//	}
//	defer conn.EndRequest()
//	conn.BeginBody(holder)
//	... // reads the body
//	conn.EndBody()
//
// Several requests of one HTTP/2 connection may do so at the same time. Their bodies
// then share one progress, that of the connection, and are closed together, but only
// while all of its requests have a body that is being read.
package ingress
