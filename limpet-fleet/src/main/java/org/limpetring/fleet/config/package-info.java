/** Accepts the operators' tables and keeps the newest accepted configuration in force. */
@NullMarked
package org.limpetring.fleet.config;

import org.jspecify.annotations.NullMarked;
