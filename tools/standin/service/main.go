// Command service runs the stand-in for a plain service.
package main

import (
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"siskintide.example/siskintide/tools/standin/process"
	"siskintide.example/siskintide/tools/standin/service/serviceserver"
)

func main() {
	listen := "127.0.0.1:7200"
	var options serviceserver.Options
	flaggy.SetName("service")
	flaggy.SetDescription("stand-in for a plain service whose calls may not be repeated")
	flaggy.String(&listen, "l", "listen", "loopback IP and port to listen at")
	flaggy.String(&options.Name, "n", "name", "prefix of each incarnation; a UUID of the process follows")
	flaggy.Duration(&options.Latency, "", "latency", "how long a call runs")
	flaggy.Int(&options.ColdCalls, "", "cold-calls", "concurrent calls above which a cold process crashes; zero means no limit")
	flaggy.Duration(&options.ColdFor, "", "cold-for", "how long a process stays cold after its start")
	flaggy.Parse()
	options.Name += "-" + uuid.NewString()
	server := serviceserver.New(options)
	err := process.Serve(listen, server, nil)
	server.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "service:", err)
		os.Exit(1)
	}
}
