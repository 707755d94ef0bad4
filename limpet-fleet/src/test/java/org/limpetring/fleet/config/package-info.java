/** Tests of the accepted configuration. */
@NullMarked
package org.limpetring.fleet.config;

import org.jspecify.annotations.NullMarked;
