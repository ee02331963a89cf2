#ifndef SEAM_SHARE_H
#define SEAM_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum seam_resource - resources that tasks occupy */
enum seam_resource {
	SEAM_CPU_MILLI,
	SEAM_MEMORY_MB,
	SEAM_ACCELERATORS,
	SEAM_RESOURCES
};

/** struct seam_resources - an amount of each resource */
struct seam_resources {
	int64_t of[SEAM_RESOURCES];
};

/**
 * struct seam_share - weighted max-min fairness on the dominant resource
 *
 * The capacity is divided between teams, then the part of each team between its
 * workspaces. Implements dominant resource fairness (Ghodsi et al., NSDI 2011)
 * with weights and with demands that may be below the share. Not thread-safe.
 */
struct seam_share;

/** seam_share_new() - without teams and capacity; NULL if out of memory */
struct seam_share *seam_share_new(void);

/** seam_share_free() - free @s with its teams and workspaces */
void seam_share_free(struct seam_share *s);

/** seam_share_capacity() - set the total capacity */
void seam_share_capacity(struct seam_share *s,
			 const struct seam_resources *capacity);

/** seam_share_team() - add a team of @weight (at least 1) */
struct seam_handle seam_share_team(struct seam_share *s, int64_t weight);

/** seam_share_workspace() - add a workspace; SEAM_HANDLE_NONE if @team is stale
 */
struct seam_handle seam_share_workspace(struct seam_share *s,
					struct seam_handle team,
					int64_t weight);

/** seam_share_del() - delete a team with its workspaces, or a workspace */
void seam_share_del(struct seam_share *s, struct seam_handle team,
		    struct seam_handle workspace);

/**
 * seam_share_demand() - set the total demand of a workspace
 * @s: shares
 * @workspace: workspace
 * @demand: sum over its running and waiting tasks
 *
 * Return: false if @workspace is stale.
 */
bool seam_share_demand(struct seam_share *s, struct seam_handle workspace,
		       const struct seam_resources *demand);

/**
 * seam_share_use() - account for a task that starts or ends
 * @s: shares
 * @workspace: workspace
 * @amount: resources of the task
 * @sign: 1 when it starts, -1 when it ends
 *
 * Return: false if @workspace is stale.
 */
bool seam_share_use(struct seam_share *s, struct seam_handle workspace,
		    const struct seam_resources *amount, int sign);

/**
 * seam_share_compute() - compute entitlements from capacity, weights, demands
 *
 * Takes O(n log n) for n teams and workspaces. Has to be called again after a
 * change of demands, weights or capacity, but not after starts and ends of
 * tasks.
 */
void seam_share_compute(struct seam_share *s);

/**
 * seam_share_entitled() - entitlement: the part of the demand within the share
 * @s: shares
 * @team: team, or SEAM_HANDLE_NONE
 * @workspace: workspace, or SEAM_HANDLE_NONE to ask for the team
 * @out: receives the amount; may be NULL
 *
 * Return: its dominant share, 0 to 1 of the capacity.
 */
double seam_share_entitled(const struct seam_share *s, struct seam_handle team,
			   struct seam_handle workspace,
			   struct seam_resources *out);

/** seam_share_used() - dominant share in use; same parameters */
double seam_share_used(const struct seam_share *s, struct seam_handle team,
		       struct seam_handle workspace);

/**
 * seam_share_next() - choose the workspace whose task starts next
 * @s: shares
 * @skip: called for each candidate; true excludes it, e.g. because its tasks do
 *        not fit; may be NULL
 * @arg: argument of @skip
 * @team: receives the team with unmet demand and the lowest dominant share in
 *        use divided by its weight
 * @workspace: receives its workspace, chosen in the same way
 *
 * Return: false if there is no candidate with unmet demand.
 */
bool seam_share_next(const struct seam_share *s,
		     bool (*skip)(struct seam_handle workspace, void *arg),
		     void *arg, struct seam_handle *team,
		     struct seam_handle *workspace);

/**
 * seam_share_over() - choose the workspace whose tasks are preempted
 * @s: shares
 * @team: receives the team furthest over its entitlement, divided by weight
 * @workspace: receives its workspace, chosen in the same way
 *
 * Return: false unless one team is over its entitlement while another, with
 * unmet demand, is below its own.
 */
bool seam_share_over(const struct seam_share *s, struct seam_handle *team,
		     struct seam_handle *workspace);

/**
 * struct seam_preemptible - a running task that may be preempted
 * @started: start time
 * @amount: resources that it occupies
 * @task: handle of the caller
 */
struct seam_preemptible {
	seam_time started;
	struct seam_resources amount;
	struct seam_handle task;
};

/**
 * seam_share_victims() - choose the newest tasks until @need is covered
 * @running: tasks of one workspace; reordered, newest first
 * @n: their number
 * @need: amount to free; tasks that free none of it are not chosen
 * @excess: amount over the entitlement; no task is chosen once it is freed
 *
 * Return: number of tasks at the start of @running to checkpoint and stop.
 */
size_t seam_share_victims(struct seam_preemptible *running, size_t n,
			  const struct seam_resources *need,
			  const struct seam_resources *excess);

#ifdef __cplusplus
}
#endif
#endif
