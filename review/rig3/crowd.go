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

// playCrowd sends bodies of legal size to two machines, many at once, that stop just short of their end, and again after the processes
// have been started again. Without trouble as many clients send small bodies.
func playCrowd(p *platform, trouble bool) (bool, error) {
	const clients, waves = 800, 5
	if _, err := p.startFleet(3, 164, 6, 20, 5*time.Millisecond, 2_300_000); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	go p.enforceMemory(done)
	size := 1500
	if trouble {
		size = 4_000_000
	}
	served, lost := 0, 0
	for wave := range waves {
		for m, v := range p.vms[:2] {
			for i := range clients {
				go p.sendShort(v, fmt.Sprintf("9c41d07b%x%x%06x", wave, m, i), size)
			}
		}
		for i, end := 0, time.Now().Add(5*time.Second); time.Now().Before(end); i++ {
			v, id := p.vms[i%2], fmt.Sprintf("9c41d07be2%02x%04x", wave, i)
			status, _ := call(http.MethodPost, v.callers, streamPrefix+"2f", map[string]string{"Request-Id": id, "Deadline-Ms": "2000"}, []byte("x"), 3*time.Second)
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
		p.waitReady(3 * time.Second)
	}
	p.record.add("%d waves of %d clients; %d ordinary requests served, %d not; the processes were over their memory %d and %d times", waves, clients, served, lost,
		p.vms[0].kills, p.vms[1].kills)
	return p.vms[0].kills >= 3 && p.vms[1].kills >= 3, nil
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
