/*
 * Tests of tasks that move between two shards.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "core_fleet_state.h"
#include "core_move.h"
#include "fleet_shards.h"

#define JOB_ID "0000000000000001"
#define FILLER_ID "00000000000000f0"
/* Time after which the first task of a full shard is decided and runs. */
#define SETTLE_MS 500
#define MOVE_MS 1000

/* A shard 0 that the filler fills and a shard 1 with workers of this size. */
static void init_full_shard(shards_t *s, uint32_t cores_milli)
{
	shards_init(s);
	add_worker(&s->worlds[0], "a1", 1000);
	add_worker(&s->worlds[1], "b1", cores_milli);
	shards_add_job(s, 0, FILLER_ID, &long_running_step);
	shards_advance(s, SETTLE_MS);
	assert_int_equal(shards_count_runs(s, 0, FILLER_ID), 1);
}

static void test_task_waits_in_full_shard_beside_room(void **state)
{
	shards_t s;

	(void)state;
	init_full_shard(&s, 4000);
	shards_add_job(&s, 0, JOB_ID, &long_running_step);
	shards_advance(&s, MOVE_MS);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	assert_int_equal(s.n_departures, 1);
	assert_string_equal(g_hash_table_lookup(s.records, "state/" JOB_ID),
			    "running");
	shards_clear(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_task_waits_in_full_shard_beside_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
