#ifndef SEAM_WORKERLINK_H
#define SEAM_WORKERLINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/err.h"
#include "process/size.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_TASK_ID_SIZE 176 /* TEAM~QUEUE~BUCKET~HEX */

/** enum seam_worker_cmd_type - commands to a worker */
enum seam_worker_cmd_type {
	SEAM_CMD_START,
	SEAM_CMD_RENEW,
	SEAM_CMD_CHECKPOINT, /* checkpoint, then stop */
	SEAM_CMD_THROTTLE, /* limit the resources to @need */
	SEAM_CMD_STOP /* stop; an attempt that has not started is refused */
};

/**
 * enum seam_attempt_state - state of an attempt as reported by a worker
 * @SEAM_ATTEMPT_NOT_STARTED: it has not started, and its start will be refused
 * @SEAM_ATTEMPT_ABSENT: the worker does not know it; it may still start
 * @SEAM_ATTEMPT_FENCED: the token of the command is older than one seen before
 * @SEAM_ATTEMPT_STOPPED: it was stopped before its end, by a command or because
 *     its lease expired
 */
enum seam_attempt_state {
	SEAM_ATTEMPT_RUNNING,
	SEAM_ATTEMPT_DONE,
	SEAM_ATTEMPT_FAILED,
	SEAM_ATTEMPT_STOPPED,
	SEAM_ATTEMPT_NOT_STARTED,
	SEAM_ATTEMPT_ABSENT,
	SEAM_ATTEMPT_FENCED
};

/**
 * struct seam_worker_cmd - a command for one attempt of a task
 * @cmd_type: enum seam_worker_cmd_type
 * @worker: id of the worker
 * @addr: IP:PORT of the worker
 * @task: full id of the task
 * @attempt: number of the attempt, from 1
 * @token: version of the bucket row that the sender last wrote. A worker
 *         refuses a command whose token is older than one that it has seen for
 *         the task.
 * @boot: boot count of the worker when the start was committed. A worker that
 *        has rebooted since refuses the start, as its record of whether the
 *        attempt has run is lost.
 * @start_by: a start after this time is refused
 * @lease_until: the worker stops the task at this time unless the lease is
 *               renewed
 * @need: reserved resources
 * @team: team
 * @kind: kind of the task
 * @payload: JSON text for the task, owned by the sender during the call
 */
struct seam_worker_cmd {
	int cmd_type;
	char worker[64];
	char addr[64];
	char task[SEAM_TASK_ID_SIZE];
	int64_t attempt;
	uint64_t token;
	int64_t boot;
	seam_time start_by;
	seam_time lease_until;
	struct seam_need need;
	char team[64];
	char kind[64];
	const char *payload;
};

/**
 * struct seam_worker_report - report of a worker on an attempt
 * @attempt_state: enum seam_attempt_state
 * @worker: id of the worker
 * @task: full id of the task
 * @attempt: number of the attempt
 * @token: token of the command that this answers; 0 in a listing
 * @boot: boot count of the worker; 0 if it was not sent
 * @usage: resource usage at @usage_at, which is in the past
 * @usage_at: time of @usage
 * @reason: why the attempt failed, was refused or was stopped
 */
struct seam_worker_report {
	int attempt_state;
	char worker[64];
	char task[SEAM_TASK_ID_SIZE];
	int64_t attempt;
	uint64_t token;
	int64_t boot;
	struct seam_need usage;
	seam_time usage_at;
	char reason[96];
};

/**
 * struct seam_listing_schedule - schedule for listing the tasks of a worker
 * @changed_at: time of the latest command that starts or stops a task
 * @interval_min: shortest interval between listings after that command
 * @states_at: time of the latest response with the states of all tasks
 * @listed_at: time of the latest listing
 *
 * Responses to renewals carry the states of running tasks. Listings detect the
 * end of a task earlier, and are the more frequent the more recent the latest
 * start or stop is.
 */
struct seam_listing_schedule {
	seam_time changed_at;
	seam_time interval_min;
	seam_time states_at;
	seam_time listed_at;
};

/**
 * seam_listing_schedule_cmd_sent() - record that a command was sent
 * @p: schedule
 * @cmd_type: enum seam_worker_cmd_type
 * @now: current time
 */
void seam_listing_schedule_cmd_sent(struct seam_listing_schedule *p,
				    int cmd_type, seam_time now);

/**
 * seam_listing_schedule_reported() - record a response with all states
 * @p: schedule
 * @listing: it is a listing, else the response to renewals
 * @now: current time
 */
void seam_listing_schedule_reported(struct seam_listing_schedule *p,
				    bool listing, seam_time now);

/** seam_listing_schedule_next() - time at which the next listing is due */
seam_time seam_listing_schedule_next(const struct seam_listing_schedule *p,
				     seam_time now);

struct seam_workers;

/**
 * struct seam_worker_ops - commands to workers and their reports
 * @send: queue a command without blocking; SEAM_BUSY if the queue is full
 * @poll: take reports on the tasks of one bucket; @prefix is their id up to and
 *        including the last "~". Reports come from responses to commands and
 *        from listings, and may be repeated.
 * @free: close all connections and free the links
 *
 * Commands to one worker are carried out in order. A response may be lost; the
 * next listing then has the states.
 */
struct seam_worker_ops {
	int (*send)(struct seam_workers *w, const struct seam_worker_cmd *c,
		    struct seam_err *e);
	size_t (*poll)(struct seam_workers *w, const char *prefix,
		       struct seam_worker_report *out, size_t max);
	void (*free)(struct seam_workers *w);
};

/** struct seam_workers - links to workers; the vtable is the first member */
struct seam_workers {
	const struct seam_worker_ops *ops;
};

/**
 * seam_workerlink_new() - create links to workers over HTTP
 * @k: clock
 * @key: bearer key that authenticates this node to workers
 * @wake: called by the thread of a link after reports arrived; may be NULL
 * @arg: passed to @wake
 *
 * Each worker that gets commands has one thread, which sends them in order and
 * lists the tasks of the worker when struct seam_listing_schedule requires it.
 * Renewals that are queued within 100 ms are sent in one call, or one by one to
 * a worker that does not support that call.
 */
struct seam_workers *seam_workerlink_new(struct seam_clock *k, const char *key,
					 void (*wake)(void *arg), void *arg);

/** seam_worker_cmd_to_json() - encode a command; the caller puts it */
struct json_object *seam_worker_cmd_to_json(const struct seam_worker_cmd *c);

/** seam_worker_renewals_to_json() - encode the body of a call of @n renewals */
struct json_object *
seam_worker_renewals_to_json(struct seam_worker_cmd *const *c, size_t n);

/** seam_worker_cmd_parse() - decode a command; @c->payload points into @o */
void seam_worker_cmd_parse(struct json_object *o, struct seam_worker_cmd *c);

/** seam_worker_report_to_json() - encode a report; the caller puts it */
struct json_object *
seam_worker_report_to_json(const struct seam_worker_report *r);

/** seam_worker_report_parse() - decode a report; -1 if malformed */
int seam_worker_report_parse(struct json_object *o,
			     struct seam_worker_report *r);

/** seam_worker_cmd_name() - URL path of a command: "start", "renew", ... */
const char *seam_worker_cmd_name(int cmd_type);

/** seam_attempt_state_name() - name of a state: "running", "done", ... */
const char *seam_attempt_state_name(int attempt_state);

/** seam_attempt_state_parse() - state by name; -1 if unknown */
int seam_attempt_state_parse(const char *name);

#ifdef __cplusplus
}
#endif
#endif
