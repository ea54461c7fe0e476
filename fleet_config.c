/*
 * Reference counting of the configuration, from any thread.
 */
#include "fleet_port.h"

fleet_config_t *fleet_config_ref(fleet_config_t *config)
{
	g_atomic_int_inc(&config->refs);
	return config;
}

void fleet_config_unref(fleet_config_t *config)
{
	size_t i;

	if (!config || !g_atomic_int_dec_and_test(&config->refs))
		return;
	for (i = 0; i < config->n_queues; i++) {
		g_free(config->queues[i].host);
		g_free(config->queues[i].prefix);
	}
	g_free(config->queues);
	g_free(config);
}
