#!/bin/bash
# One write of the node that leads gets no answer and is performed 5 s later.
# Exits with 1 if a queue then tells under half of the submissions that wait.
cd "$(dirname "$0")" && . ../lib.sh
setup "$PWD"

TROUBLE=${TROUBLE:-1}
DELAY_MS=5000 # platform_lost, how = late: done 1 to 6 s later
STABLE_S=3 # stableWindowMs
SEEN_S=5 # visible_ms + 2 s
WATCH_S=15

cat >"$TMP/config" <<END
{"version":1,"routes":[{"name":"r-desk","host":"$HOST","prefix":"/desk/",
"type":"unsafe","timeoutMs":3000,"targetCompletionMs":600,"priority":0,
"service":"desk","attempts":3,"stretch":1.6,"public":false}],
"services":[{"name":"desk","healthPath":"/healthz","maxConnections":64,
"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,
"rejectsOverload":true,"standby":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-a","apiKeys":["$KEY"],"priority":1,"weight":1000,
"cap":{"cpu":0,"memMb":0,"gpu":0}}]}
END
start_standin "i-0:${MINION_PORT[0]}:desk:zone-a:32000"
start_nodes
sleep 2

submit() { # COUNT
	"$STANDIN" submit "$RECORD" "$HOST" /desk/ "$KEY" "$1" \
		"work_ms=100000 cpu=2000 " 200 \
		'[{"count":1,"cpu":2000,"memMb":1000,"estimateMs":100000}]' \
		"${FRONT[@]}" | wc -l
}

# Fills the minion, so that the others wait.
[ "$(submit 16)" = 16 ] || cannot_run "not accepted"
for _ in {1..50}; do
	[ "$(grep -c ' start minion=' "$RECORD")" = 16 ] && break
	sleep 0.1
done
sleep 1
[ "$(row_text board pending)" = "{}" ] || cannot_run "something waits already"

[ "$TROUBLE" = 0 ] ||
	curl -s -X POST -o /dev/null \
		"http://127.0.0.1:$STORE/ctl/late?table=board&count=1&delay=$DELAY_MS"
waiting=$(submit 4)
sleep 1.5
waiting=$((waiting + $(submit 20)))
note "waiting=$waiting"
sleep $((SEEN_S + STABLE_S + DELAY_MS / 1000))

[ "$(grep -c ' start minion=' "$RECORD")" = 16 ] || cannot_run "one has begun"
wrong=0
asked=0
for _ in $(seq $WATCH_S); do
	for p in "${FRONT[@]}"; do
		text=$(curl -s -m 3 -H "Host: $HOST" \
			-H "Authorization: Token $KEY" "http://127.0.0.1:$p/desk/")
		note "pending answer=$text"
		n=$(sed -n 's/.*"pending": *\([0-9]*\).*/\1/p' <<<"$text")
		[ -n "$n" ] || continue
		asked=$((asked + 1))
		[ $((2 * n)) -lt "$waiting" ] && wrong=$((wrong + 1))
	done
	sleep 1
done
result="waiting=$waiting answers=$asked under_half=$wrong"
note "$result"
echo "$result"
[ "$asked" -gt 0 ] || cannot_run "no answers"
[ "$wrong" = 0 ]
