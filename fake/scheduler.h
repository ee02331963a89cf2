#ifndef SEAM_FAKE_SCHEDULER_H
#define SEAM_FAKE_SCHEDULER_H

#include "process/scheduler_impl.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_FAKE_POOLS 5
#define SEAM_FAKE_WORKER_CPU 64000 /* thousandths of a core */

/**
 * struct seam_fake_scheduler - scheduler without threads or a platform
 * @sched: the scheduler; its lock need not be held
 * @ops: operator state, empty
 * @catalog: configuration, empty
 * @election: leadership, with term 1 held
 * @workers: number of workers added
 * @jobs: number of jobs added
 */
struct seam_fake_scheduler {
	struct seam_scheduler *sched;
	struct seam_op_state ops;
	struct seam_catalog_cell catalog;
	struct seam_election election;
	int workers;
	uint64_t jobs;
};

/** seam_fake_scheduler_init() - create it with @workers over all pools */
void seam_fake_scheduler_init(struct seam_fake_scheduler *f, int workers);

/** seam_fake_scheduler_clear() - free its resources */
void seam_fake_scheduler_clear(struct seam_fake_scheduler *f);

/** seam_fake_scheduler_add_worker() - add a worker that answered a hold */
void seam_fake_scheduler_add_worker(struct seam_fake_scheduler *f);

/**
 * seam_fake_scheduler_add_job() - add a job with one step
 * @f: fake scheduler
 * @tasks: number of tasks
 * @cpu: CPU of each task, thousandths of a core
 * @ms: estimated run time of each task, ms
 * @rack: number of the rack that has the data of the tasks, or -1
 */
void seam_fake_scheduler_add_job(struct seam_fake_scheduler *f, int tasks,
				 int64_t cpu, int64_t ms, int rack);

/**
 * seam_fake_scheduler_ack_orders() - acknowledge all orders of all workers
 *
 * Return: number of runs on all workers.
 */
int seam_fake_scheduler_ack_orders(struct seam_fake_scheduler *f);

/**
 * seam_fake_scheduler_end_run() - complete one run on @w
 *
 * Return: false if it has none.
 */
bool seam_fake_scheduler_end_run(struct seam_fake_scheduler *f,
				 struct seam_worker *w);

#ifdef __cplusplus
}
#endif
#endif
