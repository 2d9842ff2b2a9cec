# Functions to run a small installation on loopback; sourced by scripts/demo,
# scripts/demo-outage and scripts/thin-path. The sourcing script sets build (the
# build directory) and agent_pid (an array), and calls cluster_begin first.

# Ports of one installation: platform, fabric, then blocks of ten per process.
platform_port=21000
fabric_port=21001

cluster_begin() {
    work=$(mktemp -d)
    pids=()
    trap cluster_end EXIT
    (
        umask 077
        head -c 32 /dev/urandom > "$work/overlay.key"
        head -c 32 /dev/urandom > "$work/control.key"
    )
}

# Kills every started process by its pid, and removes the working directory.
cluster_end() {
    local pid
    for pid in "${pids[@]}"; do kill -9 "$pid" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}

# start NAME COMMAND...: runs a command in the background; sets last_pid.
start() {
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    last_pid=$!
    disown "$last_pid"
    pids+=("$last_pid")
}

start_platform() {
    start platform "$build/standin/briarfield-standin" platform \
        --listen "127.0.0.1:$platform_port" --objects "$work/objects.json"
}

balancer_port() { echo $((21100 + $1 * 10 + $2)); }
agent_port() { echo $((21300 + $1 * 10 + $2)); }

# fabric_members FIRST LAST: prints the value of the traffic stand-in's option
# --members for a range of balancers.
fabric_members() {
    local b list=
    for b in $(seq "$1" "$2"); do
        list+="${list:+,}127.0.0.1:$(balancer_port "$b" 0)"
        list+="/127.0.0.1:$(balancer_port "$b" 3)"
    done
    echo "$list"
}

# control_addresses FIRST LAST: prints the control addresses of balancers.
control_addresses() {
    local b list=
    for b in $(seq "$1" "$2"); do
        list+="${list:+ }127.0.0.1:$(balancer_port "$b" 2)"
    done
    echo "$list"
}

# start_balancer NUMBER: starts a balancer; $balancer_extra holds additional
# lines of its section [balancer].
start_balancer() {
    local b=$1
    cat > "$work/balancer$b.ini" << EOF
[instance]
name = balancer-$b
zone = zone-$((b % 3))
region = bagmati
[store]
address = 127.0.0.1:$platform_port
[keys]
overlay = $work/overlay.key
control = $work/control.key
[balancer]
fabric = 127.0.0.1:$(balancer_port "$b" 0)
overlay = 127.0.0.1:$(balancer_port "$b" 1)
control = 127.0.0.1:$(balancer_port "$b" 2)
${balancer_extra:-}
[http]
address = 127.0.0.1:$(balancer_port "$b" 3)
EOF
    start "balancer$b" "$build/src/briarfield" balancer \
        --settings "$work/balancer$b.ini"
}

# start_agent NUMBER TEAM SERVICE BALANCERS: starts a backend server and its
# agent; $agent_extra holds additional lines of its section [agent].
start_agent() {
    local a=$1
    start "server$a" "$build/standin/briarfield-standin" server \
        --listen "127.0.0.1:$(agent_port "$a" 4)" --name "server-$a"
    cat > "$work/agent$a.ini" << EOF
[instance]
name = agent-$a
zone = zone-$((a % 3))
region = bagmati
[keys]
overlay = $work/overlay.key
control = $work/control.key
[agent]
overlay = 127.0.0.1:$(agent_port "$a" 0)
server = 127.0.0.1:$(agent_port "$a" 1)
control = 127.0.0.1:$(agent_port "$a" 2)
server_address = 127.0.0.1:$(agent_port "$a" 4)
fabric_address = 127.0.0.1:$fabric_port
team = $2
service = $3
balancers = $4
${agent_extra:-}
[http]
address = 127.0.0.1:$(agent_port "$a" 3)
EOF
    start "agent$a" "$build/src/briarfield" agent \
        --settings "$work/agent$a.ini"
    agent_pid[a]=$last_pid
}

# wait_ready PORT...: waits until /readyz returns 200 on each port; fails if one
# does not after 100 tries, 0.1 s apart.
wait_ready() {
    local port tries
    for port in "$@"; do
        for tries in $(seq 100); do
            http_ok "$port" /readyz && break
            [ "$tries" = 100 ] && return 1
            sleep 0.1
        done
    done
}

# http_ok PORT PATH: whether a GET returns status 200.
http_ok() {
    local line
    exec 9<> "/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET %s HTTP/1.0\r\nHost: localhost\r\n\r\n' "$2" >&9
    IFS= read -r -t 2 line <&9
    exec 9>&-
    case $line in *" 200 "*) return 0 ;; esac
    return 1
} 2> /dev/null
