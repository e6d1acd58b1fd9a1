/* cmocka with the headers it requires, and configurations from YAML. */
#ifndef TEST_H
#define TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "wp_config.h"
#include "wp_pb.h"
#include "wp_policy.h"

/* Returns the configuration at `revision` that the YAML rules describe; free it
   with wp_config_free(). Invalid rules fail the test. */
static inline WPConfig *config_from(const char *yaml, uint64_t revision)
{
    GError *error = NULL;
    Wp__Rules *r = (Wp__Rules *)wp_yaml_read(&wp__rules__descriptor,
                                             wp_str(yaml), "test", &error);
    if (!r)
        fail_msg("%s", error->message);
    GPtrArray *ops = wp_rules_to_ops(r);
    Wp__Snapshot s = WP__SNAPSHOT__INIT;
    WPConfig *c = wp_config_new();
    s.revision = revision;
    s.n_ops = ops->len;
    s.ops = (Wp__Op **)ops->pdata;
    assert_int_equal(wp_config_apply_snapshot(c, &s), WP_APPLY_DONE);
    wp_ops_free(ops);
    wp_pb_free(r);
    return c;
}

/* Returns the policy of the configuration that the YAML rules describe. */
static inline WPPolicy *policy_from(const char *yaml)
{
    WPConfig *c = config_from(yaml, 1);
    WPPolicy *p = wp_policy_new(c);
    wp_config_free(c);
    return p;
}

/* Defines a main() that runs the tests, each given as T(function). */
#define TESTS_MAIN(...)                                                        \
    int main(void)                                                             \
    {                                                                          \
        const struct CMUnitTest tests[] = { __VA_ARGS__ };                     \
        return cmocka_run_group_tests(tests, NULL, NULL);                      \
    }

#define T(name) cmocka_unit_test(name)

#endif
