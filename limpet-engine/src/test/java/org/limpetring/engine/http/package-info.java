/** Tests of the HTTP adapter against raw sockets that misbehave. */
@NullMarked
package org.limpetring.engine.http;

import org.jspecify.annotations.NullMarked;
