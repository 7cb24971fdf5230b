package httpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/httpserver"
)

// TestUnusedConnectionDoesNotDelayShutdown guards against a shutdown that runs out of time
// because a client has opened a connection and sent nothing on it.
func TestUnusedConnectionDoesNotDelayShutdown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inHandler, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(inHandler)
		<-release
		_, _ = io.WriteString(w, "whole")
	})}
	unused := httpserver.CloseUnusedOnShutdown(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := make(chan string, 1)
	go func() { body <- get(listener.Addr().String()) }()
	<-inHandler
	for unused.Count() == 0 {
		time.Sleep(time.Millisecond) // the server has not accepted the connection yet
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second) // less than http.Server waits
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(ctx) }()
	<-served
	close(release)
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if got := <-body; got != "whole" {
		t.Errorf("the request in flight got %q", got)
	}
}

func get(address string) string {
	response, err := http.Get("http://" + address)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
