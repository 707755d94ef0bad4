package org.limpetring.groups.control;

import org.limpetring.groups.Plan;

/** Plan with its version in the platform; the version is 0 if the plan was never written. */
record StoredPlan(Plan plan, long version) {}
