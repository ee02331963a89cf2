# Functions of the scripts: a small deployment of three nodes, its platform and
# its minions, on loopback addresses and free ports.
set -u
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
STANDIN=$ROOT/build/review/standin
NODES=3
HOST=desk.example
KEY=key-of-the-tenant
declare -a FRONT READY CONTROL NODE_PID
STANDIN_PID=

finish() {
	local i

	for ((i = 0; i < NODES; i++)); do
		[ -n "${NODE_PID[i]:-}" ] && kill -9 "${NODE_PID[i]}" 2>/dev/null
	done
	[ -n "$STANDIN_PID" ] && kill -9 "$STANDIN_PID" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$TMP"
}

cannot_run() {
	echo "cannot run: $*" | tee -a "$RECORD"
	exit 2
}

note() { # a line of the record, with the time of the stand-ins' clock
	echo "$(awk '{printf "%d", $1 * 1000}' /proc/uptime) script $*" >>"$RECORD"
}

setup() { # CASE_FOLDER
	RECORD=$1/record.txt
	TMP=$(mktemp -d)
	trap finish EXIT
	trap 'exit 2' INT TERM
	: >"$RECORD"
	[ -x "$STANDIN" ] && [ -x "$ROOT/target/seamd" ] ||
		cannot_run "build with 'make BUILD=target all' and review/build.sh"
	read -r -a PORT <<<"$("$STANDIN" ports 20)"
	[ ${#PORT[@]} = 20 ] || cannot_run "no free ports"
	STORE=${PORT[0]}
	CLOUD=${PORT[1]}
	local i
	for ((i = 0; i < NODES; i++)); do
		FRONT[i]=${PORT[2 + 3 * i]}
		READY[i]=${PORT[3 + 3 * i]}
		CONTROL[i]=${PORT[4 + 3 * i]}
	done
	MINION_PORT=("${PORT[@]:11}")
}

start_standin() { # MINION...
	"$STANDIN" serve "$RECORD" "$STORE" "$CLOUD" "$TMP/config" "$@" \
		2>>"$TMP/standin.log" &
	STANDIN_PID=$!
	for _ in {1..50}; do
		curl -s -o /dev/null "http://127.0.0.1:$CLOUD/machines" && return
		sleep 0.1
	done
	cannot_run "the stand-in does not answer"
}

# Settings as deploy/node.json.tmpl gives them on sites/kotva-sched.
write_settings() { # NODE
	cat >"$TMP/node-$1.json" <<-END
	{
		"node": "frontend-$1",
		"data_centre": "zone-a",
		"listen": "127.0.0.1:${FRONT[$1]}",
		"ready": "127.0.0.1:${READY[$1]}",
		"control": "127.0.0.1:${CONTROL[$1]}",
		"seeds": "127.0.0.1:${CONTROL[0]},127.0.0.1:${CONTROL[1]},127.0.0.1:${CONTROL[2]}",
		"store": "127.0.0.1:$STORE",
		"vm_service": "127.0.0.1:$CLOUD",
		"grace_ms": 6000,
		"lease_max_ms": 10000,
		"vm_lease_ms": 3000,
		"vm_orders_per_s": 64.0,
		"cpu_share": 0.25,
		"cores": 1,
		"memory_mb": 260,
		"descriptors": 4100
	}
	END
}

start_node() { # NODE
	write_settings "$1"
	(cd "$ROOT" && MONSOONSEAM_NODE_FILE=$TMP/node-$1.json \
		exec target/seamd --platform >>"$TMP/node-$1.log" 2>&1) &
	NODE_PID[$1]=$!
	note "node=$1 started"
}

is_ready() { # NODE
	[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
		"http://127.0.0.1:${READY[$1]}/readyz")" = 200 ]
}

wait_ready() { # NODE
	for _ in {1..150}; do
		is_ready "$1" && return
		sleep 0.1
	done
	cannot_run "node $1 is not ready"
}

start_nodes() {
	local i

	for ((i = 0; i < NODES; i++)); do start_node "$i"; done
	for ((i = 0; i < NODES; i++)); do wait_ready "$i"; done
	for _ in {1..100}; do
		[ -n "$(owner)" ] && return
		sleep 0.1
	done
	cannot_run "no node leads"
}

row_text() { # TABLE KEY
	curl -s -m 2 "http://127.0.0.1:$STORE/ctl/text?table=$1&key=$2"
}

owner() { # number of the node that last wrote to lead/owner
	row_text lead owner | sed -n 's/.*"frontend-\([0-9]*\)".*/\1/p'
}
