package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["crowd"] = playCrowd }

// unread returns the bytes in MB that have been received on an address and not been read.
func unread(address string) int {
	data, err := os.ReadFile("/proc/net/tcp")
	at, parseErr := netip.ParseAddrPort(address)
	if err != nil || parseErr != nil {
		return 0
	}
	ip := at.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), at.Port())
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[1] != local || f[3] != "01" && f[3] != "08" {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return int(sum >> 20)
}

// playCrowd sends bodies of legal size to a machine, many at once, that stop just short of their end. Without trouble as many clients
// send small bodies.
func playCrowd(p *platform, trouble bool) (bool, error) {
	const clients = 800
	if _, err := p.startFleet(3, 164, 6, 20, 5*time.Millisecond, 2_300_000); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	go p.enforceMemory(done)
	v, size := p.vms[0], 1500
	if trouble {
		size = 4_000_000
	}
	for i := range clients {
		go p.sendShort(v, fmt.Sprintf("9c41d07b%08x", i), size)
	}
	served, lost := 0, 0
	for i, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		status, _ := call(http.MethodPost, v.callers, streamPrefix+"2f", map[string]string{"Request-Id": id, "Deadline-Ms": "5000"}, []byte("x"), 6*time.Second)
		if i%10 == 0 || status != http.StatusOK {
			p.record.add("client: ordinary request %s at %s: %d; its process has %d MB, and %d MB are received and not read", id, v.name, status, v.rss(), unread(v.callers))
		}
		if status == http.StatusOK {
			served++
		} else {
			lost++
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.record.add("%d clients; %d ordinary requests served, %d not; the process was over its memory %d times", clients, served, lost, v.kills)
	return v.kills > 0, nil
}

// sendShort sends all but the last byte of a body and keeps the connection open until it is answered or 10 s have passed.
func (p *platform) sendShort(v *vm, id string, size int) {
	conn, err := net.DialTimeout("tcp4", v.callers, 2*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", streamPrefix, host, id, size)
	chunk := make([]byte, 64<<10)
	for left := size - 1; left > 0; {
		n, err := conn.Write(chunk[:min(left, len(chunk))])
		left -= n
		if err != nil {
			return
		}
	}
	_, _ = io.ReadAll(conn)
}
