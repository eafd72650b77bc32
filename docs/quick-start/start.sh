# Starts a small system on loopback. Source it at the root of the repository, from bash:
#
#     source docs/quick-start/start.sh
#
# The stand-ins take the place of the platform and of the backend servers.

export PATH="$PWD/target/debug:$PATH"
export RUN="$(mktemp -d)"
export CAMPHORBEAM_SERVER=127.0.0.1:7001
export CAMPHORBEAM_SECRET_FILE="$RUN/secret"

head -c 32 /dev/urandom | base64 > "$RUN/secret"
camphorbeam token > "$RUN/operator"
camphorbeam token --account sonede > "$RUN/sonede"

camphorbeam-stand-in platform --listen 127.0.0.1:7000 > "$RUN/platform.out" &
echo $! > "$RUN/platform.pid"
camphorbeam-stand-in backend-servers --spec docs/quick-start/servers.json \
  --journal "$RUN/journal.jsonl" > "$RUN/servers.out" &
echo $! > "$RUN/servers.pid"

# entry_host ID ZONE PORT PEER_PORT
entry_host() {
  camphorbeam serve --host "$1" --zone "$2" --platform 127.0.0.1:7000 \
    --listen "127.0.0.1:$3" --peer-listen "127.0.0.1:$4" 2> "$RUN/$1.log" &
  echo $! > "$RUN/$1.pid"
}
entry_host tunis-e1 tunis-lab 7001 7011
entry_host tunis-e2 tunis-lab 7002 7012
entry_host bizerte-e1 bizerte-lab 7003 7013

# platform_hosts FILE: what the platform's host list says from now on
platform_hosts() {
  curl -sS --fail -X PUT --data-binary "@$1" http://127.0.0.1:7000/control/hosts
}
for _ in $(seq 100); do
  platform_hosts docs/quick-start/hosts.json 2> /dev/null && break
  sleep 0.1
done

# health PORT: how an entry host is doing
health() {
  curl -sS "http://127.0.0.1:$1/v1/health"
  echo
}

# Ends everything that this file has started.
stop_all() {
  for file in "$RUN"/*.pid; do
    kill -CONT "$(cat "$file")" 2> /dev/null
    kill "$(cat "$file")" 2> /dev/null
  done
  wait
}
